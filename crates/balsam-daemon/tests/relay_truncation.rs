//! Truncated answers: a caller must never mistake a part of an answer for the complete answer.

mod common;

use common::{Cluster, Upstream, call, open_request, read_answer, read_to_end, read_until};
use rstest::rstest;
use std::time::Duration;
use tokio::time::sleep;

/// A request and its answer must arrive unchanged, with and without a relay between two daemons.
#[rstest]
#[case::local(1)]
#[case::relayed(2)]
#[actix_rt::test]
async fn complete_answer(#[case] daemons: u64) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(daemons, upstream.address).await;
    let mut caller = open_request(
        cluster.entry().caller,
        "GET /files/k1/a?b=c",
        "x-own: 7\r\n",
    )
    .await;
    let received = upstream.next().await;
    assert!(
        received
            .head
            .starts_with("get /files/k1/a?b=c http/1.1\r\n"),
        "{}",
        received.head
    );
    assert_eq!(received.field("balsam-key"), Some("k1"));
    assert_eq!(received.field("balsam-epoch"), Some("1"));
    assert_eq!(received.field("balsam-rank"), Some("lookup"));
    assert_eq!(received.field("balsam-member"), Some("anonymous"));
    assert_eq!(received.field("x-own"), Some("7"));
    let body = "x".repeat(300_000);
    actix_rt::spawn(async move { received.ok(&body).await });
    let answer = read_answer(&mut caller).await;
    assert_eq!(
        (answer.status, answer.body.len(), answer.is_complete),
        (200, 300_000, true)
    );
    assert_eq!(answer.field("balsam-outcome"), Some("answered"));
    assert_eq!(answer.field("balsam-upstream"), Some("u1"));
}

/// A body must be recognizably truncated if the upstream connection breaks, even between two
/// chunks, where the received bytes look complete.
#[rstest]
#[case::length("content-length: 10\r\n\r\n12345", "12345")]
#[case::within_chunk("transfer-encoding: chunked\r\n\r\n5\r\n123", "123")]
#[case::between_chunks("transfer-encoding: chunked\r\n\r\n5\r\n12345\r\n", "12345")]
#[case::before_last_line("transfer-encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n", "12345")]
#[actix_rt::test]
async fn truncated_body(#[values(1, 2)] daemons: u64, #[case] rest: &str, #[case] body: &str) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(daemons, upstream.address).await;
    let mut caller = open_request(cluster.entry().caller, "GET /files/k1", "").await;
    let received = upstream.next().await;
    received
        .send_and_close(format!("HTTP/1.1 200 OK\r\n{rest}"))
        .await;
    let answer = read_answer(&mut caller).await;
    if answer.status == 504 {
        // The daemon detected the truncation before it forwarded the head.
        assert_eq!(answer.field("balsam-outcome"), Some("unknown"));
        return;
    }
    assert!(!answer.is_complete, "{answer:?}");
    assert!(body.as_bytes().starts_with(&answer.body));
}

/// An answer whose body is delimited only by the close of the connection must be rejected, because
/// its completeness cannot be proven.
#[actix_rt::test]
async fn unproven_end() {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(1, upstream.address).await;
    let fields = "balsam-deadline-ms: 500\r\n";
    let mut caller = open_request(cluster.entry().caller, "POST /files/k1", fields).await;
    let received = upstream.next().await;
    received
        .send_and_close("HTTP/1.1 200 OK\r\n\r\n12345")
        .await;
    let answer = read_answer(&mut caller).await;
    assert_eq!(answer.outcome(), ("unknown", "upstream-lost"));
}

/// If the dispatcher is lost in the middle of an answer, the caller's connection must be closed
/// without an end marker.
#[actix_rt::test]
async fn lost_dispatcher() {
    let mut upstream = Upstream::start().await;
    let mut cluster = Cluster::start(2, upstream.address).await;
    let mut caller = open_request(cluster.entry().caller, "GET /files/k1", "").await;
    let mut received = upstream.next().await;
    received
        .send("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345")
        .await;
    let start = read_until(&mut caller, "12345").await;
    assert!(start.starts_with("HTTP/1.1 200 OK\r\n"), "{start}");
    let lost = cluster.daemons.pop();
    drop(received);
    drop(lost);
    assert_eq!(read_to_end(&mut caller).await, "");
}

/// A request that may have run must be reported as unknown, even if a later attempt was not run.
#[actix_rt::test]
async fn unknown_outcome() {
    let mut upstream = Upstream::start().await;
    let mut cluster = Cluster::start(2, upstream.address).await;
    let mut caller = open_request(cluster.entry().caller, "GET /files/k1", "").await;
    let received = upstream.next().await;
    let mut dispatcher = cluster.daemons.pop().expect("a dispatcher");
    let listener = dispatcher.listener.take().expect("a listener");
    actix_rt::spawn(listener.stop());
    sleep(Duration::from_millis(100)).await;
    received.send_and_close("").await;
    let answer = read_answer(&mut caller).await;
    assert_eq!(answer.outcome(), ("unknown", "upstream-lost"));
}

/// A chunked answer must be complete for the caller if it was complete for the daemon, whatever
/// chunk extensions and trailers it has.
#[actix_rt::test]
async fn complete_chunks() {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(2, upstream.address).await;
    actix_rt::spawn(async move {
        let chunks =
            "transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nt: 1\r\n\r\n";
        let received = upstream.next().await;
        received
            .answer(format!("HTTP/1.1 200 OK\r\n{chunks}"))
            .await;
        upstream.next().await.ok("second").await;
    });
    let answer = call(cluster.entry().caller, "GET /files/k1", "").await;
    assert_eq!((answer.body, answer.is_complete), (b"abcde".to_vec(), true));
    let answer = call(cluster.entry().caller, "GET /files/k1", "").await;
    assert_eq!(
        (answer.body, answer.is_complete),
        (b"second".to_vec(), true)
    );
}
