//! Guards connections to upstreams: an answer must never reach another request.

mod common;

use common::{Cluster, Upstream, call, open_request, read_answer};
use rstest::rstest;

/// Guards the cost of new connections: a connection with a complete exchange is used again.
#[actix_rt::test]
async fn complete_exchange() {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(2, upstream.address).await;
    for _ in 0..3 {
        let mut caller = open_request(cluster.entry().caller, "GET /files/k1", "").await;
        let seen = upstream.next().await;
        assert_eq!(seen.connection, 0);
        seen.ok("done").await;
        assert!(read_answer(&mut caller).await.is_complete);
    }
}

/// Guards against crossed answers: bytes after an answer belong to no request, and a connection
/// that the upstream wants to close takes no other.
#[rstest]
#[case::extra_bytes("content-length: 1\r\n\r\nabHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nc")]
#[case::wants_close("connection: close\r\ncontent-length: 1\r\n\r\na")]
#[actix_rt::test]
async fn spoiled_connection(#[case] rest: &str) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(1, upstream.address).await;
    let mut caller = open_request(cluster.entry().caller, "GET /files/k1", "").await;
    let seen = upstream.next().await;
    seen.answer(format!("HTTP/1.1 200 OK\r\n{rest}")).await;
    assert_eq!(read_answer(&mut caller).await.body, b"a");
    let mut caller = open_request(cluster.entry().caller, "GET /files/k2", "").await;
    let seen = upstream.next().await;
    assert_eq!(seen.connection, 1);
    seen.ok("own").await;
    assert_eq!(read_answer(&mut caller).await.body, b"own");
}

/// Guards against an answer that names another request.
#[rstest]
#[case::other_key("balsam-key: k9\r\n")]
#[case::other_order("balsam-key: k1\r\nidempotency-key: o9\r\n")]
#[actix_rt::test]
async fn crossed_answer(#[case] fields: &str) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(1, upstream.address).await;
    let mut caller = open_request(cluster.entry().caller, "POST /files/k1", "").await;
    let seen = upstream.next().await;
    let crossed = format!("HTTP/1.1 200 OK\r\n{fields}content-length: 1\r\n\r\nx");
    seen.answer(crossed).await;
    let answer = read_answer(&mut caller).await;
    assert_eq!(answer.outcome(), ("unknown", "upstream-lost"));
}

/// Guards against a late answer: after a missed deadline the connection takes no other request.
#[actix_rt::test]
async fn late_answer() {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(1, upstream.address).await;
    let entry = cluster.entry().caller;
    let answer = call(entry, "GET /files/k1", "balsam-deadline-ms: 100\r\n").await;
    assert_eq!(answer.outcome(), ("unknown", "deadline-after-send"));
    let late = upstream.next().await;
    let mut caller = open_request(entry, "GET /files/k2", "").await;
    let seen = upstream.next().await;
    assert_eq!((late.connection, seen.connection), (0, 1));
    seen.ok("own").await;
    assert_eq!(read_answer(&mut caller).await.body, b"own");
}
