//! Tests that all daemons refuse a request that crashes upstreams, and no other request.

use balsam_decide::crashes::{Crash, CrashCount, CrashedUpstream, Suspects};
use balsam_types::{Fingerprint, StartTime, TimeMs, UpstreamName};

const POISON: Fingerprint = Fingerprint(7);
const START: TimeMs = TimeMs(1_000);

/// How long a request takes until it crashes an upstream, in milliseconds.
const CRASH_AFTER_MS: u64 = 5;

fn upstream(number: u64) -> CrashedUpstream {
    CrashedUpstream {
        name: UpstreamName::new(format!("u{number}")).expect("a valid name"),
        born: StartTime(number),
    }
}

fn crash(fingerprint: Fingerprint, number: u64) -> Crash {
    Crash {
        fingerprint,
        upstream: upstream(number),
        took_ms: CRASH_AFTER_MS,
        ended_ago_ms: 0,
    }
}

/// Records crashes of different upstreams, one after the other, and returns the time of the last.
fn record_crashes(suspects: &mut Suspects, numbers: std::ops::Range<u64>) -> TimeMs {
    let mut now = START;
    for number in numbers {
        now = now.after(CRASH_AFTER_MS * 2);
        assert_eq!(
            suspects.crashed(now, &crash(POISON, number)),
            CrashCount::Counted
        );
    }
    now
}

/// Guards against a request that is still accepted after its third crash, and against one that is
/// refused after one or two crashes.
#[test]
fn refused_after_third() {
    let mut suspects = Suspects::new();
    let now = record_crashes(&mut suspects, 0..2);
    assert_eq!(suspects.list().refused_until(now, POISON), None);
    let now = now.after(CRASH_AFTER_MS);
    assert_eq!(
        suspects.crashed(now, &crash(POISON, 2)),
        CrashCount::Counted
    );
    assert!(suspects.list().refused_until(now, POISON).is_some());
    let other = Fingerprint(8);
    assert_eq!(suspects.list().refused_until(now, other), None);
}

/// Guards against counting one incident several times: when several upstreams are lost at once,
/// many equal requests for popular paths are lost with them.
#[test]
fn single_incident() {
    let mut suspects = Suspects::new();
    assert_eq!(
        suspects.crashed(START, &crash(POISON, 0)),
        CrashCount::Counted
    );
    for number in 1..9 {
        // Takes longer than the time since the first crash, so it was sent before that crash.
        let mut overlapping = crash(POISON, number);
        overlapping.took_ms = 300;
        assert_ne!(
            suspects.crashed(START.after(number), &overlapping),
            CrashCount::Counted
        );
    }
    assert!(suspects.crashes_to_announce(POISON).is_none());
}

/// Guards against counting more than one reset by an upstream that resets connections but still
/// runs.
#[test]
fn same_upstream() {
    let mut suspects = Suspects::new();
    let mut now = START;
    assert_eq!(
        suspects.crashed(now, &crash(POISON, 0)),
        CrashCount::Counted
    );
    for _ in 0..9 {
        now = now.after(CRASH_AFTER_MS * 2);
        assert_ne!(
            suspects.crashed(now, &crash(POISON, 0)),
            CrashCount::Counted
        );
    }
}

/// Guards against refusing a request that an upstream has served between the crashes.
#[test]
fn served_between() {
    let mut suspects = Suspects::new();
    record_crashes(&mut suspects, 0..2);
    assert!(suspects.served(START, POISON));
    let now = record_crashes(&mut suspects, 3..5);
    assert_eq!(suspects.list().refused_until(now, POISON), None);
}

/// Guards that crashes that different daemons observe add up at each daemon.
#[test]
fn crashes_shared() {
    let mut leader = Suspects::new();
    let mut other = Suspects::new();
    let mut now = record_crashes(&mut other, 0..1);
    // Daemons report crashes to the leader, which announces them from the second one on.
    for number in 0..3 {
        now = now.after(CRASH_AFTER_MS * 2);
        assert_eq!(
            leader.crashed(now, &crash(POISON, number)),
            CrashCount::Counted
        );
        if let Some(crashed) = leader.crashes_to_announce(POISON) {
            other.add_announced(now, POISON, crashed.to_vec());
        }
    }
    assert!(other.list().refused_until(now, POISON).is_some());
}

/// Guards that a suspect expires after two minutes, and a refused one after ten minutes and not
/// before.
#[test]
fn suspects_expire() {
    let mut suspects = Suspects::new();
    let now = record_crashes(&mut suspects, 0..1);
    assert!(!suspects.expire(now.after(100_000)));
    assert!(suspects.expire(now.after(130_000)));
    let now = record_crashes(&mut suspects, 0..3);
    assert!(!suspects.expire(now.after(590_000)));
    assert!(suspects.expire(now.after(610_000)));
    assert!(suspects.list().is_empty());
}

/// Guards against memory use that grows with the number of requests whose upstream is lost.
#[test]
fn suspects_bounded() {
    let mut suspects = Suspects::new();
    for number in 0..5_000 {
        let other_crash = crash(Fingerprint(number), 0);
        assert_eq!(
            suspects.crashed(START.after(number), &other_crash),
            CrashCount::Counted
        );
    }
    let list = suspects.list();
    let kept = (0..5_000).filter(|number| list.contains(Fingerprint(*number)));
    assert_eq!(kept.count(), 1_024);
    assert!(list.contains(Fingerprint(4_999)));
}

/// Guards against dropping a refused request to make room for requests with a single crash: a
/// deployment that loses many responses reports hundreds of those per second.
#[test]
fn refused_kept() {
    let mut suspects = Suspects::new();
    let now = record_crashes(&mut suspects, 0..3);
    for number in 0..5_000 {
        let other_crash = crash(Fingerprint(100 + number), 0);
        suspects.crashed(now.after(number), &other_crash);
    }
    assert!(suspects.refused_until(POISON).is_some());
}

/// Guards against counting copies of a request that are in flight at once as a single crash,
/// although all were sent after the request had crashed an upstream.
#[test]
fn copies_in_flight() {
    let mut suspects = Suspects::new();
    assert_eq!(
        suspects.crashed(START, &crash(POISON, 0)),
        CrashCount::Counted
    );
    let later = START.after(1_000);
    for number in 1..3 {
        let mut copy = crash(POISON, number);
        copy.took_ms = 100;
        assert_eq!(
            suspects.crashed(later.after(number), &copy),
            CrashCount::Counted
        );
    }
    assert!(suspects.refused_until(POISON).is_some());
}
