//! Uploads and slow callers beside other requests, at a machine with little memory.

mod support;

use balsam_edge::Edge;
use balsam_edge::store::StoreChange;
use rstest::rstest;
use std::time::Duration;
use support::{
    Behavior, Caller, Store, Upstream, config, entry, start_limited, upstream_row, wait_ready,
};
use tokio::time::{sleep, timeout};

/// Memory of the machine, less than settings files may have, so that uploads are short. Bodies of more
/// than 256 KiB can use 2.8 MB of it together.
const MEMORY_MB: f64 = 24.0;

/// Two uploads of this length fit, three do not.
const UPLOAD_BYTES: usize = 1_200_000;

/// One upload of this length fits as long as there is nothing beside it.
const FULL_BYTES: usize = 2_600_000;

/// Time for which an upstream works on an upload.
const WORK: Duration = Duration::from_millis(700);

/// Time limit of a request that need not wait, on a busy machine.
const PROMPT: Duration = Duration::from_millis(1_500);

/// Timeout of the routes: uploads that wait for each other take a multiple of their time on a busy
/// machine, and would end as unknown at a shorter one.
const ROUTE_TIMEOUT_MS: u64 = 20_000;

async fn start_edge(upstreams: &[&Upstream]) -> Edge {
    let mut config = config(1);
    config.limits.body_max_bytes = 64 << 20;
    for route in &mut config.routes {
        let route = std::sync::Arc::make_mut(route);
        route.timeout_ms = ROUTE_TIMEOUT_MS;
    }
    let entries = upstreams
        .iter()
        .map(|upstream| upstream_row(entry(upstream)));
    let store = Store::start(std::iter::once(StoreChange::Config(config)).chain(entries));
    let edge = start_limited(&store, 1, MEMORY_MB).await;
    wait_ready(&edge).await;
    edge
}

/// Opens a connection and sends the head of an order and the first bytes of its body.
async fn open_upload(edge: &Edge, id: &str, framing: &str, first: &str) -> Caller {
    let mut caller = Caller::open(edge.addresses().callers).await;
    let head = format!("POST /order/x HTTP/1.1\r\nHost: h.example\r\nTest-Id: {id}\r\n");
    caller
        .send(&format!("{head}{framing}\r\n\r\n{first}"))
        .await;
    caller
}

async fn upload(edge: &Edge, id: &str, bytes: usize) -> (u16, Option<String>) {
    let framing = format!("Content-Length: {bytes}");
    let body = "u".repeat(bytes);
    let mut caller = open_upload(edge, id, &framing, &body).await;
    let (status, head, _) = caller.response().await;
    let retry_after = head.fields.text("retry-after").map(str::to_owned);
    (status, retry_after)
}

async fn small_request(edge: &Edge, id: &str) -> u16 {
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", "/read/x", id).await;
    caller.response().await.0
}

/// Guards against uploads at the same time that exceed the memory of the machine: only as many as
/// fit may be read, the others wait for them, and small requests go on.
#[actix_rt::test]
async fn uploads_at_once() {
    let mut first = Upstream::start("u1", &[Behavior::TakeBody(WORK)]).await;
    let mut second = Upstream::start("u2", &[Behavior::TakeBody(WORK)]).await;
    let mut third = Upstream::start("u3", &[Behavior::TakeBody(WORK)]).await;
    let edge = start_edge(&[&first, &second, &third]).await;
    let uploads = async {
        tokio::join!(
            upload(&edge, "o1", UPLOAD_BYTES),
            upload(&edge, "o2", UPLOAD_BYTES),
            upload(&edge, "o3", UPLOAD_BYTES),
        )
    };
    let others = async {
        sleep(WORK / 2).await;
        let sent = first.events().len() + second.events().len() + third.events().len();
        assert!(sent <= 2, "{sent} uploads were held at once");
        let status = timeout(PROMPT, small_request(&edge, "r1")).await;
        assert_eq!(status, Ok(200), "a small request beside the uploads");
    };
    let (results, ()) = tokio::join!(uploads, others);
    let results = [results.0, results.1, results.2];
    for (status, retry_after) in &results {
        let is_refused = *status == 503 && retry_after.is_some();
        assert!(*status == 200 || is_refused, "{results:?}");
    }
    let served = results.iter().filter(|(status, _)| *status == 200);
    assert!(served.count() >= 2, "{results:?}");
}

/// Guards against a body that is read although it can never fit, by its length or as it arrives.
#[rstest]
#[case::length("Content-Length: 2900000", "")]
#[case::chunks("Transfer-Encoding: chunked", "2c4020\r\n")]
#[actix_rt::test]
async fn exceeds_budget(#[case] framing: &str, #[case] start: &str) {
    let mut upstream = Upstream::start("u1", &[Behavior::TakeBody(WORK)]).await;
    let edge = start_edge(&[&upstream]).await;
    let body = if start.is_empty() {
        String::new()
    } else {
        start.to_owned() + &"u".repeat(2_900_000)
    };
    let mut caller = open_upload(&edge, "o1", framing, &body).await;
    assert_eq!(caller.response().await.0, 413);
    assert_eq!(upstream.events().len(), 0);
    assert_eq!(small_request(&edge, "r1").await, 200);
}

/// Guards against a caller that sends a body byte by byte, within each limit on pauses, and keeps
/// the memory for it from others.
#[actix_rt::test]
async fn trickled_body() {
    let upstream = Upstream::start("u1", &[Behavior::TakeBody(Duration::ZERO)]).await;
    let edge = start_edge(&[&upstream]).await;
    let framing = format!("Content-Length: {FULL_BYTES}");
    let mut slow = open_upload(&edge, "o1", &framing, "u").await;
    for _ in 0..8 {
        sleep(Duration::from_millis(500)).await;
        slow.send("u").await;
    }
    let result = timeout(PROMPT, upload(&edge, "o2", FULL_BYTES)).await;
    assert_eq!(result.expect("a prompt response").0, 200);
    let (status, head, _) = slow.response().await;
    assert_eq!(status, 503, "the slow caller's request has not run");
    assert!(head.fields.get("retry-after").is_some());
}

/// Guards against a caller that stops reading a long answer and keeps the memory for it from
/// others until its connection times out.
#[actix_rt::test]
async fn stopped_reader() {
    let endless = Behavior::Endless(
        "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nTest-Signature: s-r1\r\n\r\n",
        // Long pieces fill the socket buffers before the caller counts as one that has stalled.
        "x".repeat(8 << 10).leak(),
    );
    let upstream = Upstream::start("u1", &[endless, Behavior::TakeBody(Duration::ZERO)]).await;
    let edge = start_edge(&[&upstream]).await;
    let mut reader = Caller::open(edge.addresses().callers).await;
    let request = "GET /read/x HTTP/1.1\r\nHost: h.example\r\nTest-Id: r1\r\n\
        Test-Deadline-Ms: 20000\r\n\r\n";
    reader.send(request).await;
    // After two intervals of 3 s the daemon has seen that the caller does not read. The connection
    // would time out after 10 s.
    sleep(Duration::from_secs(7)).await;
    // The upstream serves one connection after the other, so that the upload also needs the end of
    // the answer.
    let uploaded = upload(&edge, "o1", FULL_BYTES);
    let ((status, retry_after), is_reset) = tokio::join!(uploaded, reader.is_reset_within(PROMPT));
    assert_eq!((status, retry_after), (200, None));
    assert!(is_reset, "the caller that does not read keeps the memory");
}
