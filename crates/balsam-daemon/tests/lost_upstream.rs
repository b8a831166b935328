//! Requests at an upstream that freezes: its connections stay open but carry no responses.

mod common;

use balsam_types::control::UpstreamStatus;
use common::{Cluster, TestDaemon, Upstream, open_request, read_answer};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

const LONG_DEADLINE_HEADER: &str = "balsam-deadline-ms: 600000\r\n";

fn set_status(daemon: &TestDaemon, status: UpstreamStatus) {
    daemon.change(|view| {
        let state = Arc::make_mut(&mut view.state);
        state.epoch = state.epoch.next();
        for upstream in state.upstreams.values_mut() {
            upstream.status = status;
        }
    });
}

/// Guards against reads that run on a frozen upstream, or wait for its slots, and stay there until
/// their deadlines. They must be tried again as soon as the upstream is known to be lost.
#[rstest]
#[case::local(1)]
#[case::relayed(2)]
#[actix_rt::test]
async fn frozen_upstream(#[case] daemons: u64) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(daemons, upstream.address).await;
    let entry = cluster.entry().caller;
    let mut callers = Vec::new();
    for key in ["a", "b", "c", "d"] {
        callers.push(open_request(entry, &format!("GET /files/{key}"), LONG_DEADLINE_HEADER).await);
    }
    // The upstream has two slots, so that two of the requests run and two are queued.
    let in_flight = [upstream.next().await, upstream.next().await];
    for daemon in &cluster.daemons {
        set_status(daemon, UpstreamStatus::Lost);
    }
    sleep(Duration::from_millis(100)).await;
    assert!(upstream.try_next().is_none(), "sent to a lost upstream");
    for daemon in &cluster.daemons {
        set_status(daemon, UpstreamStatus::Active);
    }
    actix_rt::spawn(async move {
        loop {
            upstream.next().await.ok("done").await;
        }
    });
    for caller in &mut callers {
        let answer = timeout(Duration::from_secs(10), read_answer(caller)).await;
        assert_eq!(answer.expect("an answer").body, b"done");
    }
    for request in in_flight {
        request.closed().await;
    }
}

/// Guards against a non-idempotent request that is sent again after its upstream is lost, and against
/// the loss of its late response.
#[actix_rt::test]
async fn late_answer() {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(1, upstream.address).await;
    let mut caller = open_request(
        cluster.entry().caller,
        "POST /files/a",
        LONG_DEADLINE_HEADER,
    )
    .await;
    let in_flight = upstream.next().await;
    set_status(cluster.entry(), UpstreamStatus::Lost);
    sleep(Duration::from_millis(100)).await;
    in_flight.ok("late").await;
    assert_eq!(read_answer(&mut caller).await.body, b"late");
}
