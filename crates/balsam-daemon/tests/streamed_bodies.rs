//! Request and answer bodies: they must arrive unchanged and use bounded memory.

mod common;

use common::{Cluster, Upstream, open_request, read_answer};
use rstest::rstest;
use std::fmt::Write;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longer than the body that a daemon buffers for a retry, and not a multiple of any frame or chunk
/// size.
const LONG_BODY_BYTES: usize = 300_007;

fn bytes(length: usize) -> Vec<u8> {
    (0..length).map(|number| (number % 251) as u8).collect()
}

fn encode_chunked(body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    for chunk in body.chunks(7_001) {
        let mut line = String::new();
        write!(line, "{:x}\r\n", chunk.len()).expect("writing to a string cannot fail");
        out.extend_from_slice(line.as_bytes());
        out.extend_from_slice(chunk);
        out.extend_from_slice(b"\r\n");
    }
    out.extend_from_slice(b"0\r\n\r\n");
    out
}

/// Uploads must arrive unchanged, whether they are buffered for a retry or streamed, and with
/// either framing.
#[rstest]
#[case::short_length(1_000, false)]
#[case::short_chunks(1_000, true)]
#[case::long_length(LONG_BODY_BYTES, false)]
#[case::long_chunks(LONG_BODY_BYTES, true)]
#[actix_rt::test]
async fn uploads(#[values(1, 2)] daemons: u64, #[case] length: usize, #[case] chunked: bool) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(daemons, upstream.address).await;
    let body = bytes(length);
    let (fields, sent) = if chunked {
        (
            "transfer-encoding: chunked\r\n".to_owned(),
            encode_chunked(&body),
        )
    } else {
        (format!("content-length: {length}\r\n"), body.clone())
    };
    let caller = open_request(cluster.entry().caller, "PUT /files/k1", &fields).await;
    let (mut read, mut write) = caller.into_split();
    actix_rt::spawn(async move {
        write
            .write_all(&sent)
            .await
            .expect("the daemon reads the body");
        // Dropping the write half would close the sending side, which cancels the request. The
        // connection must stay open until the answer.
        write.forget();
    });
    let received = upstream.next().await;
    assert!(received.body == body, "the body was changed");
    received.ok("stored").await;
    let mut answer = Vec::new();
    while !answer.ends_with(b"stored") {
        let read = read.read_buf(&mut answer).await;
        assert!(
            matches!(read, Ok(read) if read > 0),
            "the answer ended early"
        );
    }
}

/// An upload that its caller breaks off must not look complete to the upstream.
#[rstest]
#[case::local(1)]
#[case::relayed(2)]
#[actix_rt::test]
async fn broken_upload(#[case] daemons: u64) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(daemons, upstream.address).await;
    let fields = format!("content-length: {LONG_BODY_BYTES}\r\n");
    let mut caller = open_request(cluster.entry().caller, "PUT /files/k1", &fields).await;
    let start = bytes(LONG_BODY_BYTES - 1);
    caller.write_all(&start).await.unwrap();
    drop(caller);
    // The test upstream reports a request only after its whole body has arrived.
    let received = timeout(Duration::from_millis(500), upstream.next()).await;
    assert!(received.is_err(), "a truncated upload looked complete");
}

async fn write_until_blocked(socket: &mut TcpStream) -> usize {
    let chunk = vec![7; 64 << 10];
    let mut sent_bytes = 0;
    while let Ok(sent) = timeout(Duration::from_millis(500), socket.write(&chunk)).await {
        sent_bytes += sent.expect("the daemon keeps the connection");
        if sent_bytes > 256 << 20 {
            break;
        }
    }
    sent_bytes
}

/// A caller that does not read its answer must stall the upstream instead of filling the memory of
/// the daemons.
#[rstest]
#[case::local(1)]
#[case::relayed(2)]
#[actix_rt::test]
async fn slow_reader(#[case] daemons: u64) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(daemons, upstream.address).await;
    let _caller = open_request(cluster.entry().caller, "GET /files/k1", "").await;
    let mut received = upstream.next().await;
    received
        .send("HTTP/1.1 200 OK\r\ncontent-length: 999999999\r\n\r\n")
        .await;
    let sent_bytes = write_until_blocked(&mut received.socket).await;
    // The kernel buffers of each of the three connections hold several megabytes.
    assert!(
        sent_bytes < 64 << 20,
        "{sent_bytes} bytes were sent without blocking"
    );
}

/// An upstream that does not read a request body must stall the caller instead of filling the
/// memory of the daemons.
#[rstest]
#[case::local(1)]
#[case::relayed(2)]
#[actix_rt::test]
async fn slow_upstream(#[case] daemons: u64) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let cluster = Cluster::start(daemons, listener.local_addr().unwrap()).await;
    cluster.change_all(|view| common::set_body_max(view, 1 << 30));
    let fields = "content-length: 999999999\r\n";
    let mut caller = open_request(cluster.entry().caller, "PUT /files/k1", fields).await;
    let sent_bytes = write_until_blocked(&mut caller).await;
    assert!(
        sent_bytes < 64 << 20,
        "{sent_bytes} bytes were sent without blocking"
    );
}

/// Answers without a body must end after their head, even if a `HEAD` answer states a length.
#[rstest]
#[case::head("HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n")]
#[case::no_content("GET", "HTTP/1.1 204 No Content\r\n\r\n")]
#[case::empty("GET", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")]
#[actix_rt::test]
async fn no_body(#[values(1, 2)] daemons: u64, #[case] method: &str, #[case] bytes: &str) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(daemons, upstream.address).await;
    let entry = cluster.entry().caller;
    let mut caller = open_request(entry, &format!("{method} /files/k1"), "").await;
    upstream.next().await.answer(bytes).await;
    let head = common::read_until(&mut caller, "\r\n\r\n").await;
    assert!(head.starts_with(&bytes[..12]), "{head}");
    // The connection must accept the next request, which shows that nothing follows the head.
    caller
        .write_all(b"GET /files/k2 HTTP/1.1\r\nhost: t\r\n\r\n")
        .await
        .unwrap();
    let received = upstream.next().await;
    assert_eq!(
        (received.field("balsam-key"), received.connection),
        (Some("k2"), 0)
    );
    received.ok("next").await;
    assert_eq!(read_answer(&mut caller).await.body, b"next");
}
