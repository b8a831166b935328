//! Guards slots and queues against requests whose callers have gone away.

mod common;

use common::{Cluster, Upstream, open_request, read_answer};
use rstest::rstest;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// A deadline that no test reaches, so that only a cancellation ends a request.
const PATIENT: &str = "balsam-deadline-ms: 600000\r\n";

/// Guards that a running request is cancelled upstream by closing its connection.
#[rstest]
#[case::local(1)]
#[case::relayed(2)]
#[actix_rt::test]
async fn running_request(#[case] daemons: u64) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(daemons, upstream.address).await;
    let caller = open_request(cluster.entry().caller, "GET /files/k1", PATIENT).await;
    let seen = upstream.next().await;
    drop(caller);
    let closed = timeout(Duration::from_secs(5), seen.closed()).await;
    assert!(closed.is_ok(), "the upstream's connection stays open");
}

/// Guards that a request is cancelled upstream when its caller leaves within the answer.
#[rstest]
#[case::local(1)]
#[case::relayed(2)]
#[actix_rt::test]
async fn running_answer(#[case] daemons: u64) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(daemons, upstream.address).await;
    let caller = open_request(cluster.entry().caller, "GET /files/k1", PATIENT).await;
    let mut seen = upstream.next().await;
    seen.send("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345")
        .await;
    sleep(Duration::from_millis(50)).await;
    drop(caller);
    let closed = timeout(Duration::from_secs(5), seen.closed()).await;
    assert!(closed.is_ok(), "the upstream's connection stays open");
}

/// Guards that a queued request whose caller leaves is never sent.
#[rstest]
#[case::local(1)]
#[case::relayed(2)]
#[actix_rt::test]
async fn queued_request(#[case] daemons: u64) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(daemons, upstream.address).await;
    let entry = cluster.entry().caller;
    // The upstream has two slots.
    let mut first = open_request(entry, "GET /files/k1", "").await;
    let mut second = open_request(entry, "GET /files/k2", "").await;
    let seen = [upstream.next().await, upstream.next().await];
    let left = open_request(entry, "GET /files/left", "").await;
    sleep(Duration::from_millis(50)).await;
    drop(left);
    sleep(Duration::from_millis(50)).await;
    let mut third = open_request(entry, "GET /files/k3", "").await;
    sleep(Duration::from_millis(50)).await;
    assert!(upstream.try_next().is_none(), "a third request got a slot");
    for seen in seen {
        seen.ok("done").await;
    }
    assert!(read_answer(&mut first).await.is_complete);
    assert!(read_answer(&mut second).await.is_complete);
    let next = upstream.next().await;
    assert_eq!(next.field("balsam-key"), Some("k3"));
    next.ok("done").await;
    assert!(read_answer(&mut third).await.is_complete);
    assert!(upstream.try_next().is_none());
}
