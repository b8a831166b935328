//! Guards against upstreams that send bytes without end: the request ends in time, the connection is
//! closed, and the place at the upstream is free again.

mod support;

use rstest::rstest;
use std::time::Duration;
use support::{Act, Caller, Upstream, start};
use tokio::time::{Instant, timeout};

/// The route's timeout, and time for a busy machine.
const ENDS_WITHIN: Duration = Duration::from_millis(1_500 + 1_000);

/// The head of a success, without its end.
const OWN_HEAD: &str = "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nTest-Signature: s-r1\r\n";

/// Guards that bytes that cannot be an answer end the request.
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
async fn unusable(#[case] first: &'static str, #[case] again: &'static str) {
    let acts = [Act::Endless(first, again), Act::Endless(first, again)];
    let mut upstream = Upstream::start("u1", &acts).await;
    let edge = start(Some(&[&upstream])).await;
    let started = Instant::now();
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", "/read/x", "r1").await;
    let answer = timeout(ENDS_WITHIN, caller.answer()).await;
    let (status, ..) = answer.expect("an answer in time");
    assert!(matches!(status, 502 | 504), "{status}");
    assert_eq!(upstream.next().await, "r1");
    assert_eq!(upstream.next().await, "r1 closed");
    assert!(started.elapsed() < ENDS_WITHIN);
}

/// Guards against reading interim answers until the deadline, which costs a small machine all of
/// its processor time.
#[actix_rt::test]
async fn interim_answers() {
    let endless = Act::Endless("", "HTTP/1.1 100 Continue\r\n\r\n");
    let upstream = Upstream::start("u1", &[endless]).await;
    let edge = start(Some(&[&upstream])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("POST", "/order/x", "o1").await;
    assert_eq!(caller.answer().await.0, 502, "not read until the deadline");
}

/// Guards that a body without end is cut off at the deadline, and does not look whole.
#[rstest]
#[case::until_close("\r\n", "body")]
#[case::chunked("Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n")]
#[actix_rt::test]
async fn body(#[case] fields: &'static str, #[case] again: &'static str) {
    let first = Box::leak(format!("{OWN_HEAD}{fields}").into_boxed_str());
    let mut upstream = Upstream::start("u1", &[Act::Endless(first, again), Act::Answer]).await;
    let edge = start(Some(&[&upstream])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", "/read/x", "r1").await;
    let bytes = timeout(ENDS_WITHIN, caller.end()).await;
    let bytes = bytes.expect("the end in time");
    assert!(!bytes.ends_with(b"0\r\n\r\n"), "the body looks whole");
    assert_eq!(upstream.next().await, "r1");
    assert_eq!(upstream.next().await, "r1 closed");
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", "/read/x", "r2").await;
    assert_eq!(caller.answer().await.0, 200);
}

/// Guards that bytes behind a whole answer belong to no other request.
#[actix_rt::test]
async fn behind_answer() {
    let answer = "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nTest-Signature: s-r1\r\n\
        Content-Length: 4\r\n\r\nbody";
    let mut upstream = Upstream::start("u1", &[Act::Endless(answer, "more"), Act::Answer]).await;
    let edge = start(Some(&[&upstream])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", "/read/x", "r1").await;
    let (status, _, body) = caller.answer().await;
    assert_eq!((status, body.as_ref()), (200, &b"body"[..]));
    caller.request("GET", "/read/x", "r2").await;
    assert_eq!(caller.answer().await.0, 200);
    assert_eq!(upstream.next().await, "r1");
    assert_eq!(upstream.next().await, "r1 closed");
}
