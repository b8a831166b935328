//! Quarantine: a request that crashes every upstream that runs it must be refused after a few
//! crashes.

mod common;

use balsam_daemon::control::commit::SharedCrashes;
use balsam_daemon::control::decide::ControlInput;
use balsam_daemon::control::edge::TableExchange;
use balsam_decide::node::{OperatorCommand, View};
use balsam_decide::quarantine::CrashCount;
use balsam_types::control::QuarantineEntry;
use balsam_types::{Fingerprint, Incarnation};
use common::{Cluster, Upstream, call, open_request, read_answer};
use rstest::rstest;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Has the upstream answer a different request, which shows that it runs again after a crash.
async fn answer_other_request(upstream: &mut Upstream, entry: std::net::SocketAddr) {
    let mut caller = open_request(entry, "POST /files/other", "").await;
    upstream.next().await.ok("done").await;
    assert!(read_answer(&mut caller).await.is_complete);
}

/// A request must be refused after three crashes, and must be reported to the control task so that
/// all daemons refuse it.
#[rstest]
#[case::local(1)]
#[case::relayed(2)]
#[actix_rt::test]
async fn repeated_crashes(#[case] daemons: u64) {
    let mut upstream = Upstream::start().await;
    let mut cluster = Cluster::start(daemons, upstream.address).await;
    let entry = cluster.entry().caller;
    for _ in 0..3 {
        answer_other_request(&mut upstream, entry).await;
        let mut caller = open_request(entry, "POST /files/poison", "").await;
        upstream.next().await.send_and_close("").await;
        let answer = read_answer(&mut caller).await;
        assert_eq!(
            (answer.status, answer.outcome()),
            (504, ("unknown", "upstream-lost"))
        );
    }
    let again = call(entry, "POST /files/poison?try=2", "").await;
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

/// After an upstream process dies, something else may accept connections at its address and close
/// them. Retries of a request that meet only such closes must not count as further crashes.
#[actix_rt::test]
async fn closing_address() {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(1, upstream.address).await;
    let entry = cluster.entry().caller;
    answer_other_request(&mut upstream, entry).await;
    // The clock has a resolution of 1 ms, and the answer must be earlier than the first crash.
    actix_rt::time::sleep(std::time::Duration::from_millis(5)).await;
    for _ in 0..5 {
        let mut caller = open_request(entry, "POST /files/key", "").await;
        upstream.next().await.send_and_close("").await;
        assert_eq!(
            read_answer(&mut caller).await.outcome(),
            ("unknown", "upstream-lost")
        );
    }
    let mut caller = open_request(entry, "POST /files/key", "").await;
    upstream.next().await.ok("done").await;
    assert!(read_answer(&mut caller).await.is_complete);
}

/// If one upstream crashes while it runs several equal requests, the loss must count as one crash
/// and not quarantine the request.
#[actix_rt::test]
async fn equal_requests_at_once() {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(1, upstream.address).await;
    let entry = cluster.entry().caller;
    // Two requests at once fill the slots of the upstream, and one more follows.
    for at_once in [2, 1] {
        let mut callers = Vec::new();
        let mut running = Vec::new();
        for _ in 0..at_once {
            callers.push(open_request(entry, "POST /files/a", "").await);
            running.push(upstream.next().await);
        }
        // The clock has a resolution of 1 ms, and all requests must have been sent before the
        // crash.
        actix_rt::time::sleep(std::time::Duration::from_millis(5)).await;
        for received in running {
            received.send_and_close("").await;
        }
        for mut caller in callers {
            let answer = read_answer(&mut caller).await;
            assert_eq!(answer.outcome(), ("unknown", "upstream-lost"));
        }
    }
    let mut caller = open_request(entry, "POST /files/a", "").await;
    upstream.next().await.ok("done").await;
    assert!(read_answer(&mut caller).await.is_complete);
}

/// A crash must count only against requests with the same fingerprint, which includes the key and
/// the member.
#[actix_rt::test]
async fn other_requests() {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(1, upstream.address).await;
    let entry = cluster.entry().caller;
    for key in ["a", "b", "c", "d"] {
        let mut caller = open_request(entry, &format!("POST /files/{key}"), "").await;
        upstream.next().await.send_and_close("").await;
        let answer = read_answer(&mut caller).await;
        assert_eq!(answer.outcome(), ("unknown", "upstream-lost"));
    }
    let mut caller = open_request(entry, "POST /files/a", "balsam-member: m2\r\n").await;
    upstream.next().await.ok("done").await;
    assert!(read_answer(&mut caller).await.is_complete);
}

/// Answers reads with `row` and the next write with `committed`, and returns the row of that write.
async fn next_written_row(
    table: &mut mpsc::Receiver<TableExchange>,
    row: &SharedCrashes,
    committed: bool,
) -> SharedCrashes {
    loop {
        match table.recv().await.expect("an exchange") {
            TableExchange::ReadCrashes { reply } => drop(reply.send(Some(row.clone()))),
            TableExchange::WriteCrashes { shared, reply } => {
                reply.send(Some(committed)).expect("a waiting task");
                return shared;
            }
            _ => {}
        }
    }
}

/// A write of the shared row must keep the counts of other daemons. After a quarantine entry is
/// cleared, old counts in the row must not quarantine the request again at its next crash.
#[actix_rt::test]
async fn shared_row() {
    let mut upstream = Upstream::start().await;
    let mut cluster = Cluster::start(1, upstream.address).await;
    let mut table = cluster.daemons[0].table.take().expect("the table");
    let entry = cluster.entry().caller;
    let call_poison = async || open_request(entry, "POST /files/poison", "").await;
    let count = |fingerprint, crashes| CrashCount {
        fingerprint,
        service: "files".parse().expect("a name"),
        by: Incarnation(9),
        crashes,
    };
    let other = count(Fingerprint(1), 2);
    let mut row = SharedCrashes {
        version: 7,
        counts: vec![other.clone()],
    };

    let mut caller = call_poison().await;
    upstream.next().await.send_and_close("").await;
    drop(read_answer(&mut caller).await);
    let lost = next_written_row(&mut table, &row, false).await;
    assert_eq!(lost.version, 7);
    // In the meantime, another daemon has counted two crashes of the same request.
    let own = lost.counts.iter().find(|count| count.by != Incarnation(9));
    let fingerprint = own.expect("the own count").fingerprint;
    row.version = 8;
    row.counts.push(count(fingerprint, 2));
    let written_row = next_written_row(&mut table, &row, true).await;
    assert_eq!(written_row.version, 8);
    let crashes: Vec<u32> = written_row
        .counts
        .iter()
        .map(|count| count.crashes)
        .collect();
    assert!(written_row.counts.contains(&other), "{written_row:?}");
    assert_eq!(crashes.iter().sum::<u32>(), 5, "{written_row:?}");
    let refused = call(entry, "POST /files/poison", "").await;
    assert_eq!(refused.outcome(), ("not-run", "quarantined"));

    let entry_made = QuarantineEntry {
        fingerprint,
        service: other.service.clone(),
        crashes: 3,
        ttl_ms: 600_000,
    };
    cluster.change_all(|view: &mut View| {
        let state = Arc::make_mut(&mut view.state);
        state.quarantine.insert(fingerprint, entry_made.clone());
    });
    actix_rt::task::yield_now().await;
    let refused = call(entry, "POST /files/poison", "").await;
    assert_eq!(refused.outcome(), ("not-run", "quarantined"));
    cluster.change_all(|view: &mut View| {
        Arc::make_mut(&mut view.state).quarantine.clear();
    });
    row = SharedCrashes {
        version: 9,
        ..written_row
    };
    let cleared = next_written_row(&mut table, &row, true).await;
    assert_eq!(cleared.counts, [other]);
    let mut caller = call_poison().await;
    upstream.next().await.send_and_close("").await;
    assert_eq!(read_answer(&mut caller).await.status, 504);
    let mut caller = call_poison().await;
    upstream.next().await.ok("done").await;
    assert!(read_answer(&mut caller).await.is_complete);
}
