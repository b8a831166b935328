//! Guards upstreams against a request that crashes each one that runs it.

mod common;

use balsam_daemon::control::decide::ControlInput;
use balsam_decide::node::OperatorCommand;
use common::{Cluster, Upstream, call, open_call, read_answer};
use rstest::rstest;

/// Guards that a request is refused after three crashes, in the midst of its retries, and that it
/// is reported so that all daemons refuse it.
#[rstest]
#[case::local(1)]
#[case::relayed(2)]
#[actix_rt::test]
async fn repeated_crashes(#[case] daemons: u64) {
    let mut upstream = Upstream::start().await;
    let mut cluster = Cluster::start(daemons, upstream.address).await;
    let entry = cluster.entry().caller;
    let mut caller = open_call(entry, "GET /files/poison", "").await;
    for _ in 0..3 {
        upstream.next().await.cut_after("").await;
    }
    let answer = read_answer(&mut caller).await;
    assert_eq!(
        (answer.status, answer.outcome()),
        (504, ("unknown", "upstream-lost"))
    );
    let again = call(entry, "GET /files/poison?try=2", "").await;
    assert_eq!(
        (again.status, again.outcome()),
        (422, ("not-run", "quarantined"))
    );
    let dispatcher = cluster.daemons.last_mut().expect("a daemon");
    let mut inputs = dispatcher.inputs.take().expect("inputs");
    let entry_made = loop {
        if let ControlInput::Command { command, .. } = inputs.recv().await.expect("an input") {
            break command;
        }
    };
    assert!(matches!(entry_made, OperatorCommand::Quarantine { entry } if entry.crashes == 3));
    assert!(upstream.try_next().is_none(), "the request was sent again");
}

/// Guards against the loss of one upstream that quarantines a request which ran there several times.
#[actix_rt::test]
async fn equal_requests_at_once() {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(1, upstream.address).await;
    let entry = cluster.entry().caller;
    // As many at once as the upstream has slots, and then one more.
    for at_once in [2, 1] {
        let mut callers = Vec::new();
        let mut running = Vec::new();
        for _ in 0..at_once {
            callers.push(open_call(entry, "POST /files/a", "").await);
            running.push(upstream.next().await);
        }
        // The clock counts milliseconds, and all requests must have been sent before the loss.
        actix_rt::time::sleep(std::time::Duration::from_millis(5)).await;
        for seen in running {
            seen.cut_after("").await;
        }
        for mut caller in callers {
            let answer = read_answer(&mut caller).await;
            assert_eq!(answer.outcome(), ("unknown", "upstream-lost"));
        }
    }
    let mut caller = open_call(entry, "POST /files/a", "").await;
    upstream.next().await.ok("done").await;
    assert!(read_answer(&mut caller).await.whole);
}

/// Guards other requests: a crash counts only against equal ones.
#[actix_rt::test]
async fn other_requests() {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(1, upstream.address).await;
    let entry = cluster.entry().caller;
    for key in ["a", "b", "c", "d"] {
        let mut caller = open_call(entry, &format!("POST /files/{key}"), "").await;
        upstream.next().await.cut_after("").await;
        let answer = read_answer(&mut caller).await;
        assert_eq!(answer.outcome(), ("unknown", "upstream-lost"));
    }
    let mut caller = open_call(entry, "POST /files/a", "balsam-member: m2\r\n").await;
    upstream.next().await.ok("done").await;
    assert!(read_answer(&mut caller).await.whole);
}
