//! Guards against an earlier refusal that an upstream writes once more on a kept connection.

mod support;

use support::{Act, Caller, Upstream, start};

/// Sends two orders, of which both upstreams refuse the first; returns the status of the second and
/// how often it ran.
async fn refused_then_ran(refuse: Act, ids: [&str; 2]) -> (u16, usize) {
    let acts = [refuse, Act::RefuseAgain, Act::Answer];
    let mut upstreams = [
        Upstream::start("u1", &acts).await,
        Upstream::start("u2", &acts).await,
    ];
    let [first, second] = &upstreams;
    let edge = start(Some(&[first, second])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("POST", "/order/x", ids[0]).await;
    assert_eq!(caller.answer().await.0, 503);
    let arrived = upstreams.each_mut().map(|upstream| upstream.seen().len());
    assert_eq!(arrived, [1, 1]);
    caller.request("POST", "/order/x", ids[1]).await;
    let status = caller.answer().await.0;
    let ran = upstreams.each_mut().map(|upstream| upstream.seen().len());
    (status, ran.iter().sum())
}

/// Guards against telling the caller of another order that it was not run, by a refusal without an
/// id.
#[actix_rt::test]
async fn refusal_without_id() {
    let (status, ran) = refused_then_ran(Act::Refuse, ["o1", "o2"]).await;
    assert_eq!(ran, 1);
    assert!(
        matches!(status, 200 | 502),
        "{status} for an order that ran"
    );
}

/// Guards against taking the earlier refusal for the answer to the same order when it comes again.
#[actix_rt::test]
async fn refusal_of_same_order() {
    let (status, ran) = refused_then_ran(Act::RefuseOwn, ["o1", "o1"]).await;
    assert_eq!(ran, 1);
    assert!(
        matches!(status, 200 | 502),
        "{status} for an order that ran"
    );
}

/// Guards that the refusal of another request is skipped, and the answer behind it is delivered.
#[actix_rt::test]
async fn refusal_of_other_order() {
    let (status, ran) = refused_then_ran(Act::RefuseOwn, ["o1", "o2"]).await;
    assert_eq!(ran, 1);
    assert_eq!(status, 200);
}
