//! Requests of callers to one daemon: responses are complete, orders run at most once, and error
//! statuses do not claim that a request was not run if it may have run. An order is a request of a
//! route that is not idempotent.

mod support;

use std::time::Duration;
use support::{Behavior, Caller, NAMES, Upstream, ready_status, start};

/// Status, body and signature of an upstream's response must reach the caller unchanged.
#[actix_rt::test]
async fn whole_answer() {
    let upstream = Upstream::start("u1", &[Behavior::Respond]).await;
    let edge = start(Some(&[&upstream])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", "/read/x", "r1").await;
    let (status, head, body) = caller.response().await;
    assert_eq!((status, body.as_ref()), (200, &b"body of r1"[..]));
    assert_eq!(head.fields.text(NAMES.signature), Some("s-r1"));
}

/// Pipelined requests must get their own responses in order, also if the first upstream is slow.
#[actix_rt::test]
async fn pipelined_order() {
    let slow = Behavior::Slow(Duration::from_millis(150));
    let first = Upstream::start("u1", &[slow]).await;
    let second = Upstream::start("u2", &[Behavior::Respond]).await;
    let edge = start(Some(&[&first, &second])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    for id in ["r1", "r2", "r3"] {
        caller.request("GET", "/read/x", id).await;
    }
    for id in ["r1", "r2", "r3"] {
        let (_, head, _) = caller.response().await;
        assert_eq!(head.fields.text(NAMES.attempt_id), Some(id));
    }
}

/// An order whose connection broke may have run: it must not be retried, and not be reported as not
/// run.
#[actix_rt::test]
async fn broken_order() {
    let mut first = Upstream::start("u1", &[Behavior::Close]).await;
    let mut second = Upstream::start("u2", &[Behavior::Close]).await;
    let edge = start(Some(&[&first, &second])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("POST", "/order/x", "o1").await;
    assert_eq!(caller.response().await.0, 502);
    assert_eq!(first.events().len() + second.events().len(), 1);
}

/// An order that one upstream refused to run must be sent to another one.
#[actix_rt::test]
async fn refused_order() {
    let mut first = Upstream::start("u1", &[Behavior::Refuse, Behavior::Respond]).await;
    let mut second = Upstream::start("u2", &[Behavior::Refuse, Behavior::Respond]).await;
    let edge = start(Some(&[&first, &second])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("POST", "/order/x", "o1").await;
    let (status, head, _) = caller.response().await;
    assert_eq!(status, 503);
    assert!(
        head.fields.get("retry-after").is_some(),
        "a refusal must state when to retry"
    );
    assert_eq!((first.events().len(), second.events().len()), (1, 1));
}

/// A read whose response was truncated must be retried, and no part of the truncated response may
/// reach the caller.
#[actix_rt::test]
async fn cut_short() {
    let first = Upstream::start("u1", &[Behavior::Truncate]).await;
    let second = Upstream::start("u2", &[Behavior::Truncate, Behavior::Respond]).await;
    let edge = start(Some(&[&first, &second])).await;
    for id in ["r1", "r2", "r3"] {
        let mut caller = Caller::open(edge.addresses().callers).await;
        caller.request("GET", "/read/x", id).await;
        let (status, _, body) = caller.response().await;
        match status {
            200 => assert_eq!(body.as_ref(), format!("body of {id}").as_bytes()),
            status => assert_eq!(status, 502),
        }
    }
}

/// An extra response of an upstream must not be delivered to another request.
#[actix_rt::test]
async fn extra_answer() {
    let upstream = Upstream::start("u1", &[Behavior::RespondTwice]).await;
    let edge = start(Some(&[&upstream])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    for id in ["r1", "r2", "r3"] {
        caller.request("GET", "/read/x", id).await;
        let (status, _, body) = caller.response().await;
        assert_eq!(
            (status, body.as_ref()),
            (200, format!("body of {id}").as_bytes())
        );
    }
}

/// When a caller disconnects, its request must be cancelled at the upstream.
#[actix_rt::test]
async fn caller_leaves() {
    let slow = Behavior::Slow(Duration::from_secs(5));
    let mut upstream = Upstream::start("u1", &[slow]).await;
    let edge = start(Some(&[&upstream])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", "/read/x", "r1").await;
    assert_eq!(upstream.next_event().await, "r1");
    drop(caller);
    assert_eq!(upstream.next_event().await, "r1 cancelled");
}

/// A request that may have run must get its final status at the route's timeout, and not one that
/// promises that it has not run.
#[actix_rt::test]
async fn route_timeout() {
    let slow = Behavior::Slow(Duration::from_secs(8));
    let upstream = Upstream::start("u1", &[slow]).await;
    let edge = start(Some(&[&upstream])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("POST", "/order/x", "o1").await;
    assert_eq!(caller.response().await.0, 504);
}

/// A daemon without a configuration must report that it is not ready, and refuse requests with a
/// time to retry.
#[actix_rt::test]
async fn no_config() {
    let edge = start(None).await;
    assert_eq!(ready_status(&edge).await, 503);
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", "/read/x", "r1").await;
    let (status, head, _) = caller.response().await;
    assert_eq!(status, 503);
    assert!(head.fields.get("retry-after").is_some());
}

/// Unknown routes and malformed requests must get their specific statuses.
#[actix_rt::test]
async fn bad_requests() {
    let upstream = Upstream::start("u1", &[Behavior::Respond]).await;
    let edge = start(Some(&[&upstream])).await;
    let cases = [
        (
            "GET /nowhere HTTP/1.1\r\nHost: h.example\r\nTest-Id: r1\r\n\r\n",
            404,
        ),
        ("GET /read/x HTTP/1.1\r\nHost: h.example\r\n\r\n", 400),
        (
            "GET /read/x HTTP/1.1\r\nHost: h.example\r\nTest-Id: r1\r\nTest-Key: x\r\n\r\n",
            400,
        ),
        (
            "POST /read/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: z\r\n\r\n",
            400,
        ),
        (
            "POST /read/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 99999999\r\n\r\n",
            413,
        ),
    ];
    for (text, expected) in cases {
        let mut caller = Caller::open(edge.addresses().callers).await;
        caller.send(text).await;
        assert_eq!(caller.response().await.0, expected, "{text}");
    }
}

/// A daemon that stops must report that it is not ready, complete the accepted requests, send
/// `Connection: close`, and accept no request after the last response.
#[actix_rt::test]
async fn orderly_stop() {
    let slow = Behavior::Slow(Duration::from_millis(600));
    let mut upstream = Upstream::start("u1", &[slow]).await;
    let edge = start(Some(&[&upstream])).await;
    let addresses = edge.addresses();
    let mut caller = Caller::open(addresses.callers).await;
    caller.request("GET", "/read/x", "r1").await;
    assert_eq!(upstream.next_event().await, "r1");
    let stop = actix_rt::spawn(edge.stop());
    tokio::time::sleep(Duration::from_millis(100)).await;
    caller.request("GET", "/read/x", "r2").await;
    let mut probe = Caller::open(addresses.readiness).await;
    probe.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").await;
    assert_eq!(probe.response().await.0, 503);
    let (status, head, _) = caller.response().await;
    assert_eq!(status, 200);
    assert!(head.fields.has_token("connection", "close"));
    assert_eq!(
        caller.end().await.len(),
        0,
        "nothing may follow a response with `Connection: close`"
    );
    stop.await.expect("a graceful stop");
    assert_eq!(
        upstream.events().len(),
        0,
        "a request after the response with `Connection: close` was sent to the upstream"
    );
}

/// A request whose last bytes arrive in the closing phase of the daemon must be refused at once,
/// as not run and with an immediate retry (503 and `Retry-After: 0.000`), instead of getting no
/// response.
#[actix_rt::test]
async fn late_request() {
    let mut upstream = Upstream::start("u1", &[Behavior::Respond]).await;
    let edge = start(Some(&[&upstream])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.send("GET /read/x HTTP/1.1\r\nHost: h.ex").await;
    let stop = actix_rt::spawn(edge.stop());
    // The daemon accepts connections for 2.5 s (leaving phase), and then only completes the
    // requests in flight for 1 s (closing phase).
    tokio::time::sleep(Duration::from_millis(2_800)).await;
    caller.send("ample\r\nTest-Id: r1\r\n\r\n").await;
    let (status, head, _) = caller.response().await;
    assert_eq!(status, 503);
    assert_eq!(head.fields.text("retry-after"), Some("0.000"));
    assert_eq!(caller.end().await.len(), 0);
    stop.await.expect("a graceful stop");
    assert_eq!(upstream.events().len(), 0);
}
