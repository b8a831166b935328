//! Cancellation: a request whose caller has disconnected must not keep an upstream slot or a queue
//! entry.

mod common;

use common::{Cluster, Upstream, open_request, read_answer};
use rstest::rstest;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// A deadline longer than any test, so that only a cancellation can end a request.
const LONG_DEADLINE: &str = "balsam-deadline-ms: 600000\r\n";

/// A caller that disconnects before the answer begins must cause the daemon to close the upstream
/// connection, which cancels the request.
#[rstest]
#[case::local(1)]
#[case::relayed(2)]
#[actix_rt::test]
async fn running_request(#[case] daemons: u64) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(daemons, upstream.address).await;
    let caller = open_request(cluster.entry().caller, "GET /files/k1", LONG_DEADLINE).await;
    let received = upstream.next().await;
    drop(caller);
    let closed = timeout(Duration::from_secs(5), received.closed()).await;
    assert!(closed.is_ok(), "the upstream's connection stays open");
}

/// The upstream connection must also be closed if the caller disconnects in the middle of the
/// answer.
#[rstest]
#[case::local(1)]
#[case::relayed(2)]
#[actix_rt::test]
async fn running_answer(#[case] daemons: u64) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(daemons, upstream.address).await;
    let caller = open_request(cluster.entry().caller, "GET /files/k1", LONG_DEADLINE).await;
    let mut received = upstream.next().await;
    received
        .send("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345")
        .await;
    sleep(Duration::from_millis(50)).await;
    drop(caller);
    let closed = timeout(Duration::from_secs(5), received.closed()).await;
    assert!(closed.is_ok(), "the upstream's connection stays open");
}

/// A request that is still queued when its caller disconnects must never be sent.
#[rstest]
#[case::local(1)]
#[case::relayed(2)]
#[actix_rt::test]
async fn queued_request(#[case] daemons: u64) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(daemons, upstream.address).await;
    let entry = cluster.entry().caller;
    // The test cluster gives the upstream two slots, which these requests occupy.
    let mut first = open_request(entry, "GET /files/k1", "").await;
    let mut second = open_request(entry, "GET /files/k2", "").await;
    let received = [upstream.next().await, upstream.next().await];
    let cancelled = open_request(entry, "GET /files/left", "").await;
    sleep(Duration::from_millis(50)).await;
    drop(cancelled);
    sleep(Duration::from_millis(50)).await;
    let mut third = open_request(entry, "GET /files/k3", "").await;
    sleep(Duration::from_millis(50)).await;
    assert!(upstream.try_next().is_none(), "a third request got a slot");
    for received in received {
        received.ok("done").await;
    }
    assert!(read_answer(&mut first).await.is_complete);
    assert!(read_answer(&mut second).await.is_complete);
    let next = upstream.next().await;
    assert_eq!(next.field("balsam-key"), Some("k3"));
    next.ok("done").await;
    assert!(read_answer(&mut third).await.is_complete);
    assert!(upstream.try_next().is_none());
}
