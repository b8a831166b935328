//! Reuse of upstream connections: an answer must never reach a request that it does not belong to.

mod common;

use common::{Cluster, Upstream, call, open_request, read_answer};
use rstest::rstest;

/// A connection must be reused after a complete exchange, because new connections are expensive.
#[actix_rt::test]
async fn complete_exchange() {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(2, upstream.address).await;
    for _ in 0..3 {
        let mut caller = open_request(cluster.entry().caller, "GET /files/k1", "").await;
        let received = upstream.next().await;
        assert_eq!(received.connection, 0);
        received.ok("done").await;
        assert!(read_answer(&mut caller).await.is_complete);
    }
}

/// A connection must not be reused if bytes follow the answer, because they belong to no request,
/// or if the upstream asked to close it.
#[rstest]
#[case::extra_bytes("content-length: 1\r\n\r\nabHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nc")]
#[case::wants_close("connection: close\r\ncontent-length: 1\r\n\r\na")]
#[actix_rt::test]
async fn unusable_connection(#[case] rest: &str) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(1, upstream.address).await;
    let mut caller = open_request(cluster.entry().caller, "GET /files/k1", "").await;
    let received = upstream.next().await;
    received.answer(format!("HTTP/1.1 200 OK\r\n{rest}")).await;
    assert_eq!(read_answer(&mut caller).await.body, b"a");
    let mut caller = open_request(cluster.entry().caller, "GET /files/k2", "").await;
    let received = upstream.next().await;
    assert_eq!(received.connection, 1);
    received.ok("own").await;
    assert_eq!(read_answer(&mut caller).await.body, b"own");
}

/// An answer whose key or order ID belongs to another request must be discarded.
#[rstest]
#[case::other_key("balsam-key: k9\r\n")]
#[case::other_order("balsam-key: k1\r\nidempotency-key: o9\r\n")]
#[actix_rt::test]
async fn mismatched_answer(#[case] fields: &str) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(1, upstream.address).await;
    let mut caller = open_request(cluster.entry().caller, "POST /files/k1", "").await;
    let received = upstream.next().await;
    let mismatched = format!("HTTP/1.1 200 OK\r\n{fields}content-length: 1\r\n\r\nx");
    received.answer(mismatched).await;
    let answer = read_answer(&mut caller).await;
    assert_eq!(answer.outcome(), ("unknown", "upstream-lost"));
}

/// After a missed deadline, the connection must not be reused, because the late answer would reach
/// the next request.
#[actix_rt::test]
async fn late_answer() {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(1, upstream.address).await;
    let entry = cluster.entry().caller;
    let answer = call(entry, "GET /files/k1", "balsam-deadline-ms: 100\r\n").await;
    assert_eq!(answer.outcome(), ("unknown", "deadline-after-send"));
    let late = upstream.next().await;
    let mut caller = open_request(entry, "GET /files/k2", "").await;
    let received = upstream.next().await;
    assert_eq!((late.connection, received.connection), (0, 1));
    received.ok("own").await;
    assert_eq!(read_answer(&mut caller).await.body, b"own");
}
