//! Graceful shutdown: it must not interrupt in-flight requests, and it must end.

mod common;

use common::{Cluster, Upstream, call, open_request, read_answer};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// During a shutdown, the daemon must report that it is not ready, accept requests for the grace
/// period, and complete in-flight requests.
#[actix_rt::test]
async fn in_flight_requests() {
    let mut upstream = Upstream::start().await;
    let mut cluster = Cluster::start(1, upstream.address).await;
    let entry = cluster.entry().caller;
    assert_eq!(call(entry, "GET /-/ready", "").await.status, 200);
    let mut early = open_request(entry, "GET /files/early", "").await;
    let early_received = upstream.next().await;
    let handles = cluster.daemons[0].handles.take().expect("handles");
    let stopped = actix_rt::spawn(handles.stop());
    sleep(Duration::from_millis(50)).await;
    // A load balancer keeps sending requests until it notices that the daemon is not ready.
    assert_eq!(call(entry, "GET /-/ready", "").await.status, 503);
    assert_eq!(call(entry, "GET /-/live", "").await.status, 200);
    let mut late = open_request(entry, "GET /files/late", "").await;
    let late_received = upstream.next().await;
    sleep(Duration::from_millis(400)).await;
    assert!(TcpStream::connect(entry).await.is_err(), "still accepting");
    assert!(!stopped.is_finished(), "stopped with requests in flight");
    for (received, caller) in [(early_received, &mut early), (late_received, &mut late)] {
        received.ok("done").await;
        let answer = read_answer(caller).await;
        assert_eq!((answer.status, answer.is_complete), (200, true));
        assert_eq!(answer.field("connection"), Some("close"));
    }
    let stopped = timeout(Duration::from_secs(10), stopped).await;
    assert!(stopped.is_ok(), "the stop does not end");
}

/// A request that never ends must not delay the shutdown beyond the drain time.
#[actix_rt::test]
async fn bounded_drain() {
    let mut upstream = Upstream::start().await;
    let configure = |settings: &mut balsam_daemon::request::RequestSettings| {
        settings.grace_ms = 0;
        settings.drain_ms = 200;
    };
    let mut cluster = Cluster::start_with(1, upstream.address, configure).await;
    let _caller = open_request(cluster.entry().caller, "GET /files/k1", "").await;
    let _seen = upstream.next().await;
    let handles = cluster.daemons[0].handles.take().expect("handles");
    let stopped = timeout(Duration::from_secs(10), handles.stop()).await;
    assert!(stopped.is_ok(), "the stop does not end");
}
