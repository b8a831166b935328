//! Resumed reads: the caller must get the bytes of a single representation, or a truncated answer.

mod common;

use common::{Cluster, ReceivedRequest, Upstream, open_request, read_answer};
use rstest::rstest;

const HEAD: &str = "HTTP/1.1 200 OK\r\netag: \"v1\"\r\ncontent-length: 10\r\n\r\n";

async fn next_range(upstream: &mut Upstream) -> ReceivedRequest {
    let received = upstream.next().await;
    assert_eq!(received.field("range"), Some("bytes=5-"));
    assert_eq!(received.field("if-range"), Some("\"v1\""));
    received
}

/// A truncated read must be resumed at the first missing byte.
#[rstest]
#[case::local(1)]
#[case::relayed(2)]
#[actix_rt::test]
async fn same_representation(#[case] daemons: u64) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(daemons, upstream.address).await;
    let mut caller = open_request(cluster.entry().caller, "GET /files/k1", "").await;
    upstream
        .next()
        .await
        .send_and_close(format!("{HEAD}12345"))
        .await;
    let rest = "HTTP/1.1 206 Partial Content\r\netag: \"v1\"\r\n\
                content-range: bytes 5-9/10\r\ncontent-length: 5\r\n\r\n67890";
    next_range(&mut upstream).await.answer(rest).await;
    let answer = read_answer(&mut caller).await;
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body, b"1234567890");
}

/// Bytes of another representation or of another range must never be appended to a truncated
/// answer.
#[rstest]
#[case::other_etag(
    "206 Partial Content",
    "etag: \"v2\"\r\ncontent-range: bytes 5-9/10\r\n"
)]
#[case::other_range(
    "206 Partial Content",
    "etag: \"v1\"\r\ncontent-range: bytes 4-8/10\r\n"
)]
#[case::other_length(
    "206 Partial Content",
    "etag: \"v1\"\r\ncontent-range: bytes 5-9/11\r\n"
)]
#[case::no_range("206 Partial Content", "etag: \"v1\"\r\n")]
#[case::full_answer("200 OK", "etag: \"v2\"\r\n")]
#[actix_rt::test]
async fn other_representation(#[case] status: &str, #[case] fields: &str) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(1, upstream.address).await;
    let mut caller = open_request(cluster.entry().caller, "GET /files/k1", "").await;
    upstream
        .next()
        .await
        .send_and_close(format!("{HEAD}12345"))
        .await;
    let rest = format!("HTTP/1.1 {status}\r\n{fields}content-length: 5\r\n\r\nABCDE");
    next_range(&mut upstream).await.answer(rest).await;
    let answer = read_answer(&mut caller).await;
    assert!(!answer.is_complete, "{answer:?}");
    assert!(b"12345".starts_with(&answer.body));
}

/// Answers without a strong `ETag`, and answers to methods other than `GET`, must not be resumed.
#[rstest]
#[case::weak_tag("GET", "etag: W/\"v1\"\r\n")]
#[case::no_tag("GET", "")]
#[case::write("PUT", "etag: \"v1\"\r\n")]
#[actix_rt::test]
async fn not_resumable(#[case] method: &str, #[case] fields: &str) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(1, upstream.address).await;
    let request = format!("{method} /files/k1");
    let mut caller = open_request(cluster.entry().caller, &request, "").await;
    let truncated = format!("HTTP/1.1 200 OK\r\n{fields}content-length: 10\r\n\r\n12345");
    upstream.next().await.send_and_close(truncated).await;
    let answer = read_answer(&mut caller).await;
    assert!(!answer.is_complete, "{answer:?}");
    assert!(upstream.try_next().is_none());
}
