//! A daemon that was removed from the roster while it runs.

use balsam_decide::node::{Node, NodeInput, NodeOutput, TableResult};
use balsam_types::control::{Change, DaemonInfo, LogEntry, RemovalReason};
use balsam_types::timing::LEASE_TTL_MS;
use balsam_types::{AttemptId, Epoch, Incarnation, TimeMs, ZoneName};

const ME: Incarnation = Incarnation(1);
const OTHER: Incarnation = Incarnation(2);

fn daemon(incarnation: Incarnation) -> DaemonInfo {
    let port = 4_000 + u16::try_from(incarnation.0).expect("a small number");
    DaemonInfo {
        incarnation,
        peer_address: ([127, 0, 0, 1], port).into(),
        zone: ZoneName::new("a").expect("a valid name"),
    }
}

fn entry(epoch: u64, change: Change) -> LogEntry {
    LogEntry {
        epoch: Epoch(epoch),
        attempt: AttemptId(epoch),
        author: OTHER,
        change,
    }
}

/// Delivers the result of a table read, and returns until when the daemon then holds its lease.
fn read(
    node: &mut Node,
    now: TimeMs,
    epoch: u64,
    entries: Vec<LogEntry>,
    lease_until: TimeMs,
) -> TimeMs {
    let result = TableResult::Read {
        epoch: Epoch(epoch),
        entries,
    };
    let started_at = now.before(10);
    let outputs = node.handle(now, NodeInput::TableRead { started_at, result });
    let published = outputs.iter().rev().find_map(|output| match output {
        NodeOutput::Publish(view) => Some(view.lease_until),
        _ => None,
    });
    published.unwrap_or(lease_until)
}

/// Guards against an edit that counts as in force everywhere while a daemon that was removed as
/// silent serves by the old value: nobody waits for a daemon that is in no roster.
#[test]
fn removed_holds_no_lease() {
    let mut node = Node::new(daemon(ME), 1, TimeMs(0));
    let joined = [ME, OTHER].map(|incarnation| Change::DaemonJoined {
        daemon: daemon(incarnation),
    });
    let [me_joined, other_joined] = joined;
    let entries = vec![entry(1, me_joined), entry(2, other_joined)];
    read(&mut node, TimeMs(990), 2, entries, TimeMs(0));
    let lease_until = read(&mut node, TimeMs(1_010), 2, Vec::new(), TimeMs(0));
    assert_eq!(lease_until, TimeMs(1_000 + LEASE_TTL_MS));
    let removed = Change::DaemonsRemoved {
        incarnations: vec![ME],
        reason: RemovalReason::Silent,
    };
    let entries = vec![entry(3, removed)];
    let after_removal = read(&mut node, TimeMs(1_510), 3, entries, lease_until);
    assert_eq!(after_removal, lease_until);
    let later = read(&mut node, TimeMs(1_760), 3, Vec::new(), after_removal);
    assert_eq!(later, lease_until);
}
