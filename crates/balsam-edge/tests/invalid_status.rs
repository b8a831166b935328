//! Upstreams that answer with a status that HTTP does not have.

mod support;

use support::{Behavior, Caller, Upstream, start};

/// Guards against an answer with status 000 that is taken for an interim one, so that the caller
/// waits for the next one until the deadline (504), and against statuses above 599 that are passed
/// on as answers. The order may have run, so that its caller is told at once that this is unknown.
#[rstest::rstest]
#[case::zero("000")]
#[case::below_interim("099")]
#[case::above_errors("600")]
#[case::largest("999")]
#[actix_rt::test]
async fn order_is_unknown(#[case] status: &'static str) {
    let mut upstream = Upstream::start("u1", &[Behavior::Status(status)]).await;
    let edge = start(Some(&[&upstream])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("POST", "/order/x", "o1").await;
    assert_eq!(caller.response().await.0, 502);
    assert_eq!(upstream.events(), ["o1"]);
}
