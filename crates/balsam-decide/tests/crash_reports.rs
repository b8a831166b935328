//! Guards that the leader gets the report of each crash.

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

/// Returns the numbers and ages of the reports that a tick sends to the leader.
fn sent(watch: &mut CrashTracker, now: TimeMs) -> Vec<(u64, u64)> {
    let outputs = watch.handle(now, false, TrackerInput::Tick);
    let reports = outputs.into_iter().filter_map(|output| match output {
        TrackerOutput::SendToLeader(TrackerMessage::Crashes(reports)) => Some(reports),
        _ => None,
    });
    let told = reports
        .flatten()
        .map(|report| (report.number, report.crash.ended_ago_ms));
    told.collect()
}

/// Guards against a report whose only datagram was lost.
#[test]
fn repeated_until_known() {
    let mut watch = CrashTracker::new();
    watch.handle(START, false, crash(1));
    assert_eq!(sent(&mut watch, START.after(50)), [(1, 50)]);
    assert_eq!(sent(&mut watch, START.after(100)), []);
    assert_eq!(sent(&mut watch, START.after(400)), [(1, 400)]);
    let known = TrackerMessage::Acknowledged(vec![1]);
    watch.handle(START.after(410), false, TrackerInput::Heard(known));
    assert_eq!(sent(&mut watch, START.after(900)), []);
}

/// Guards against reports that are repeated for ever, or to a daemon that is the leader itself.
#[test]
fn not_for_ever() {
    let mut watch = CrashTracker::new();
    watch.handle(START, false, crash(1));
    assert_eq!(sent(&mut watch, START.after(11_000)), []);
    watch.handle(START.after(12_000), false, crash(2));
    watch.handle(START.after(12_010), true, TrackerInput::Tick);
    assert_eq!(sent(&mut watch, START.after(12_050)), []);
}

/// Guards against more reports than fit into a datagram.
#[test]
fn many_reports() {
    let mut watch = CrashTracker::new();
    for number in 1..=100 {
        watch.handle(START, false, crash(number));
    }
    let mut told = Vec::new();
    for tick in 1..=4 {
        let now = START.after(tick * 50);
        told.push(sent(&mut watch, now).len());
    }
    assert_eq!(told, [48, 48, 4, 0]);
}
