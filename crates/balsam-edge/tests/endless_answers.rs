//! Upstreams that send bytes without end: the request must end in time, the connection must be
//! closed, and the slot at the upstream must be free again.

mod support;

use rstest::rstest;
use std::time::Duration;
use support::{Behavior, Caller, Upstream, start};
use tokio::time::{Instant, timeout};

/// The timeout of the route, and a margin for a busy machine.
const ENDS_WITHIN: Duration = Duration::from_millis(1_500 + 1_000);

/// Head of a successful response, without its end.
const SUCCESS_HEAD: &str = "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nTest-Signature: s-r1\r\n";

/// Bytes that are not a valid response to the request must end it.
#[rstest]
#[case::no_answer("", "no answer at all ")]
#[case::status_line("HTTP/1.1 200 ", "OK")]
#[case::one_field("HTTP/1.1 200 OK\r\nX: ", "yyyyyyyy")]
#[case::many_fields("HTTP/1.1 200 OK\r\n", "X: y\r\n")]
#[case::other_answers("", "HTTP/1.1 200 OK\r\nTest-Id: x\r\nContent-Length: 1\r\n\r\nx")]
#[case::other_body("HTTP/1.1 200 OK\r\nTest-Id: x\r\n\r\n", "other")]
#[case::chunk_line(
    "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n",
    "0"
)]
#[case::failure("HTTP/1.1 500 Bad\r\nTest-Id: r1\r\n\r\n", "body")]
#[actix_rt::test]
async fn unusable(#[case] first: &'static str, #[case] repeated: &'static str) {
    let behaviors = [
        Behavior::Endless(first, repeated),
        Behavior::Endless(first, repeated),
    ];
    let mut upstream = Upstream::start("u1", &behaviors).await;
    let edge = start(Some(&[&upstream])).await;
    let started = Instant::now();
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", "/read/x", "r1").await;
    let response = timeout(ENDS_WITHIN, caller.response()).await;
    let (status, ..) = response.expect("a response in time");
    assert!(matches!(status, 502 | 504), "{status}");
    assert_eq!(upstream.next_event().await, "r1");
    assert_eq!(upstream.next_event().await, "r1 closed");
    assert!(started.elapsed() < ENDS_WITHIN);
}

/// Interim responses without end must not be read until the deadline, which would use all processor
/// time of a small machine.
#[actix_rt::test]
async fn interim_answers() {
    let endless = Behavior::Endless("", "HTTP/1.1 100 Continue\r\n\r\n");
    let upstream = Upstream::start("u1", &[endless]).await;
    let edge = start(Some(&[&upstream])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("POST", "/order/x", "o1").await;
    assert_eq!(
        caller.response().await.0,
        502,
        "interim responses must not be read until the deadline"
    );
}

/// A body without end must be cut off at the deadline, and must not look complete to the caller.
#[rstest]
#[case::until_close("\r\n", "body")]
#[case::chunked("Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n")]
#[actix_rt::test]
async fn body(#[case] fields: &'static str, #[case] repeated: &'static str) {
    let first = Box::leak(format!("{SUCCESS_HEAD}{fields}").into_boxed_str());
    let mut upstream = Upstream::start(
        "u1",
        &[Behavior::Endless(first, repeated), Behavior::Respond],
    )
    .await;
    let edge = start(Some(&[&upstream])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", "/read/x", "r1").await;
    let bytes = timeout(ENDS_WITHIN, caller.end()).await;
    let bytes = bytes.expect("the end in time");
    assert!(
        !bytes.ends_with(b"0\r\n\r\n"),
        "the truncated body looks complete"
    );
    assert_eq!(upstream.next_event().await, "r1");
    assert_eq!(upstream.next_event().await, "r1 closed");
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", "/read/x", "r2").await;
    assert_eq!(caller.response().await.0, 200);
}

/// Bytes behind a complete response must not be delivered to another request.
#[actix_rt::test]
async fn behind_answer() {
    let response = "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nTest-Signature: s-r1\r\n\
        Content-Length: 4\r\n\r\nbody";
    let mut upstream = Upstream::start(
        "u1",
        &[Behavior::Endless(response, "more"), Behavior::Respond],
    )
    .await;
    let edge = start(Some(&[&upstream])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", "/read/x", "r1").await;
    let (status, _, body) = caller.response().await;
    assert_eq!((status, body.as_ref()), (200, &b"body"[..]));
    caller.request("GET", "/read/x", "r2").await;
    assert_eq!(caller.response().await.0, 200);
    assert_eq!(upstream.next_event().await, "r1");
    assert_eq!(upstream.next_event().await, "r1 closed");
}
