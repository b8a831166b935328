//! Tests that the reports of all crashes reach the leader.

use balsam_decide::crashes::{
    Crash, CrashTracker, CrashedUpstream, TrackerInput, TrackerMessage, TrackerOutput,
};
use balsam_types::{Fingerprint, StartTime, TimeMs, UpstreamName};

const START: TimeMs = TimeMs(10_000);

fn crash(fingerprint: u64) -> TrackerInput {
    TrackerInput::CrashedUpstream(Crash {
        fingerprint: Fingerprint(fingerprint),
        upstream: CrashedUpstream {
            name: UpstreamName::new("u1").expect("a valid name"),
            born: StartTime(1),
        },
        took_ms: 5,
        ended_ago_ms: 0,
    })
}

/// Returns the numbers and the ages in milliseconds of the reports that a tick sends to the leader.
fn sent_reports(tracker: &mut CrashTracker, now: TimeMs) -> Vec<(u64, u64)> {
    let outputs = tracker.handle(now, false, TrackerInput::Tick);
    let reports = outputs.into_iter().filter_map(|output| match output {
        TrackerOutput::SendToLeader(TrackerMessage::Crashes(reports)) => Some(reports),
        _ => None,
    });
    let reported = reports
        .flatten()
        .map(|report| (report.number, report.crash.ended_ago_ms));
    reported.collect()
}

/// Guards against a crash of which the leader never learns because a datagram was lost.
#[test]
fn resent_until_acknowledged() {
    let mut tracker = CrashTracker::new();
    tracker.handle(START, false, crash(1));
    assert_eq!(sent_reports(&mut tracker, START.after(50)), [(1, 50)]);
    assert_eq!(sent_reports(&mut tracker, START.after(100)), []);
    assert_eq!(sent_reports(&mut tracker, START.after(400)), [(1, 400)]);
    let acknowledgement = TrackerMessage::Acknowledged(vec![1]);
    tracker.handle(
        START.after(410),
        false,
        TrackerInput::Heard(acknowledgement),
    );
    assert_eq!(sent_reports(&mut tracker, START.after(900)), []);
}

/// Guards against reports that are resent forever, and against reports that a daemon keeps after it
/// has become the leader.
#[test]
fn resending_ends() {
    let mut tracker = CrashTracker::new();
    tracker.handle(START, false, crash(1));
    assert_eq!(sent_reports(&mut tracker, START.after(11_000)), []);
    tracker.handle(START.after(12_000), false, crash(2));
    tracker.handle(START.after(12_010), true, TrackerInput::Tick);
    assert_eq!(sent_reports(&mut tracker, START.after(12_050)), []);
}

/// Guards against messages with more reports than fit into a datagram.
#[test]
fn many_reports() {
    let mut tracker = CrashTracker::new();
    for number in 1..=100 {
        tracker.handle(START, false, crash(number));
    }
    let mut reported = Vec::new();
    for tick in 1..=4 {
        let now = START.after(tick * 50);
        reported.push(sent_reports(&mut tracker, now).len());
    }
    assert_eq!(reported, [48, 48, 4, 0]);
}
