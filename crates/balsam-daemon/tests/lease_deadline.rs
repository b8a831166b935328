//! The deadline and epoch that the dispatcher sends to an upstream, and the conditions for sending.

mod common;

use common::{Cluster, Upstream, call, now, open_request, read_answer};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Guards against work that continues after the dispatcher's lease has expired.
///
/// An upstream that does not check grants stops work only at the request's deadline, so that this
/// deadline must not be later than the expiry of the lease. Otherwise the key could already have
/// another owner.
#[actix_rt::test]
async fn end_of_right() {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(2, upstream.address).await;
    let dispatcher = cluster.dispatcher();
    dispatcher.change(|view| view.lease_until = now().after(300));
    let answer = call(cluster.entry().caller, "POST /files/k1", "").await;
    assert_eq!(answer.outcome(), ("unknown", "deadline-after-send"));
    let seen = upstream.next().await;
    let deadline = seen.field("balsam-deadline-ms").expect("a deadline");
    let deadline_ms: u64 = deadline.parse().unwrap();
    assert!(deadline_ms <= 300, "{deadline_ms}");
}

/// Guards against a request that is sent to an upstream that checks grants before the upstream holds
/// a grant from this daemon.
#[actix_rt::test]
async fn missing_grant() {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(2, upstream.address).await;
    cluster.change_all(|view| {
        let state = Arc::make_mut(&mut view.state);
        for upstream in state.upstreams.values_mut() {
            upstream.checks_grants = true;
        }
    });
    let entry = cluster.entry().caller;
    let mut caller = open_request(entry, "GET /files/k1", "").await;
    sleep(Duration::from_millis(100)).await;
    assert!(upstream.try_next().is_none(), "sent without a grant");
    cluster.dispatcher().change(|view| {
        view.granted = view.state.upstreams.keys().cloned().collect();
    });
    let seen = upstream.next().await;
    let deadline = seen.field("balsam-deadline-ms").expect("a deadline");
    let deadline_ms: u64 = deadline.parse().unwrap();
    assert!((1..=5_000).contains(&deadline_ms), "{deadline_ms}");
    seen.ok("done").await;
    assert!(read_answer(&mut caller).await.is_complete);
}

/// Guards against a dispatcher that sends a request under an older epoch than that of the daemon that
/// received the request; it must first adopt that epoch.
#[actix_rt::test]
async fn older_dispatcher() {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(2, upstream.address).await;
    let advance_epoch = |view: &mut balsam_decide::node::View| {
        let state = Arc::make_mut(&mut view.state);
        state.epoch = state.epoch.next();
    };
    cluster.entry().change(advance_epoch);
    let mut caller = open_request(cluster.entry().caller, "GET /files/k1", "").await;
    sleep(Duration::from_millis(100)).await;
    assert!(upstream.try_next().is_none(), "sent under an older epoch");
    cluster.dispatcher().change(advance_epoch);
    let seen = upstream.next().await;
    assert_eq!(seen.field("balsam-epoch"), Some("2"));
    seen.ok("done").await;
    assert!(read_answer(&mut caller).await.is_complete);
}
