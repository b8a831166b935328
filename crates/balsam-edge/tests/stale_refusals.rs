//! An upstream that writes an earlier refusal once more on a reused connection.

mod support;

use support::{Behavior, Caller, Upstream, start};

/// Sends two orders. Both upstreams refuse the first one. Returns the status of the second one and
/// how often it ran.
async fn refused_then_ran(refuse: Behavior, ids: [&str; 2]) -> (u16, usize) {
    let behaviors = [refuse, Behavior::RepeatRefusal, Behavior::Respond];
    let mut upstreams = [
        Upstream::start("u1", &behaviors).await,
        Upstream::start("u2", &behaviors).await,
    ];
    let [first, second] = &upstreams;
    let edge = start(Some(&[first, second])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("POST", "/order/x", ids[0]).await;
    assert_eq!(caller.response().await.0, 503);
    let arrived = upstreams.each_mut().map(|upstream| upstream.events().len());
    assert_eq!(arrived, [1, 1]);
    caller.request("POST", "/order/x", ids[1]).await;
    let status = caller.response().await.0;
    let ran = upstreams.each_mut().map(|upstream| upstream.events().len());
    (status, ran.iter().sum())
}

/// Fails if a repeated refusal without an id makes the daemon report another order as not run.
#[actix_rt::test]
async fn refusal_without_id() {
    let (status, ran) = refused_then_ran(Behavior::Refuse, ["o1", "o2"]).await;
    assert_eq!(ran, 1);
    assert!(
        matches!(status, 200 | 502),
        "{status} for an order that ran"
    );
}

/// Fails if the earlier refusal is taken for the response to a retry of the same order.
#[actix_rt::test]
async fn refusal_of_same_order() {
    let (status, ran) = refused_then_ran(Behavior::RefuseWithId, ["o1", "o1"]).await;
    assert_eq!(ran, 1);
    assert!(
        matches!(status, 200 | 502),
        "{status} for an order that ran"
    );
}

/// A repeated refusal that carries the id of another request must be skipped, and the response
/// behind it delivered.
#[actix_rt::test]
async fn refusal_of_other_order() {
    let (status, ran) = refused_then_ran(Behavior::RefuseWithId, ["o1", "o2"]).await;
    assert_eq!(ran, 1);
    assert_eq!(status, 200);
}
