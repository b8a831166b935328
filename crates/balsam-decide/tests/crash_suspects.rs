//! Guards that a request that crashes upstreams is refused by all daemons, and no other request is.

use balsam_decide::crashes::{Crash, CrashCount, CrashedUpstream, Suspects};
use balsam_types::{Fingerprint, StartTime, TimeMs, UpstreamName};

const POISON: Fingerprint = Fingerprint(7);
const START: TimeMs = TimeMs(1_000);

/// How long a request takes until it crashes an upstream, in milliseconds.
const TOOK_MS: u64 = 5;

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
        took_ms: TOOK_MS,
        ended_ago_ms: 0,
    }
}

/// Notes crashes of different upstreams, one after the other.
fn crash_each(suspects: &mut Suspects, numbers: std::ops::Range<u64>) -> TimeMs {
    let mut now = START;
    for number in numbers {
        now = now.after(TOOK_MS * 2);
        assert_eq!(
            suspects.crashed(now, &crash(POISON, number)),
            CrashCount::Counted
        );
    }
    now
}

/// Guards against a request that goes on to crash upstreams after the third one, and against one
/// that is refused after a crash or two.
#[test]
fn refused_after_third() {
    let mut suspects = Suspects::new();
    let now = crash_each(&mut suspects, 0..2);
    assert_eq!(suspects.list().refused_until(now, POISON), None);
    let now = now.after(TOOK_MS);
    assert_eq!(
        suspects.crashed(now, &crash(POISON, 2)),
        CrashCount::Counted
    );
    assert!(suspects.list().refused_until(now, POISON).is_some());
    let other = Fingerprint(8);
    assert_eq!(suspects.list().refused_until(now, other), None);
}

/// Guards against counting one incident several times: upstreams that are lost together lose many
/// equal requests of popular paths.
#[test]
fn lost_together() {
    let mut suspects = Suspects::new();
    assert_eq!(
        suspects.crashed(START, &crash(POISON, 0)),
        CrashCount::Counted
    );
    for number in 1..9 {
        let mut late = crash(POISON, number);
        late.took_ms = 300;
        assert_ne!(
            suspects.crashed(START.after(number), &late),
            CrashCount::Counted
        );
    }
    assert!(suspects.to_share(POISON).is_none());
}

/// Guards against suspecting the requests of an upstream that resets connections and still lives.
#[test]
fn same_upstream() {
    let mut suspects = Suspects::new();
    let mut now = START;
    assert_eq!(
        suspects.crashed(now, &crash(POISON, 0)),
        CrashCount::Counted
    );
    for _ in 0..9 {
        now = now.after(TOOK_MS * 2);
        assert_ne!(
            suspects.crashed(now, &crash(POISON, 0)),
            CrashCount::Counted
        );
    }
}

/// Guards against refusing a request that upstreams serve in between.
#[test]
fn served_between() {
    let mut suspects = Suspects::new();
    crash_each(&mut suspects, 0..2);
    assert!(suspects.served(START, POISON));
    let now = crash_each(&mut suspects, 3..5);
    assert_eq!(suspects.list().refused_until(now, POISON), None);
}

/// Guards that crashes that different daemons saw add up at each of them.
#[test]
fn crashes_shared() {
    let mut leader = Suspects::new();
    let mut other = Suspects::new();
    let mut now = crash_each(&mut other, 0..1);
    // Each daemon reports its crash to the leader, which tells the others from the second on.
    for number in 0..3 {
        now = now.after(TOOK_MS * 2);
        assert_eq!(
            leader.crashed(now, &crash(POISON, number)),
            CrashCount::Counted
        );
        if let Some(crashed) = leader.to_share(POISON) {
            other.told(now, POISON, crashed.to_vec());
        }
    }
    assert!(other.list().refused_until(now, POISON).is_some());
}

/// Guards that a suspect is forgotten, one that is refused after ten minutes and not before.
#[test]
fn suspects_lapse() {
    let mut suspects = Suspects::new();
    let now = crash_each(&mut suspects, 0..1);
    assert!(!suspects.expire(now.after(100_000)));
    assert!(suspects.expire(now.after(130_000)));
    let now = crash_each(&mut suspects, 0..3);
    assert!(!suspects.expire(now.after(590_000)));
    assert!(suspects.expire(now.after(610_000)));
    assert!(suspects.list().is_empty());
}

/// Guards against memory that grows with the number of requests that lose an upstream.
#[test]
fn suspects_bounded() {
    let mut suspects = Suspects::new();
    for number in 0..5_000 {
        let lost = crash(Fingerprint(number), 0);
        assert_eq!(
            suspects.crashed(START.after(number), &lost),
            CrashCount::Counted
        );
    }
    let list = suspects.list();
    let kept = (0..5_000).filter(|number| list.contains(Fingerprint(*number)));
    assert_eq!(kept.count(), 1_024);
    assert!(list.contains(Fingerprint(4_999)));
}

/// Guards against forgetting a refused request for others that lost one upstream: a deployment that
/// loses many answers reports hundreds of them in a second.
#[test]
fn refused_outlasts_others() {
    let mut suspects = Suspects::new();
    let now = crash_each(&mut suspects, 0..3);
    for number in 0..5_000 {
        let lost = crash(Fingerprint(100 + number), 0);
        suspects.crashed(now.after(number), &lost);
    }
    assert!(suspects.refused_until(POISON).is_some());
}

/// Guards against counting copies that were in flight together as one, although they were sent when
/// the request had crashed an upstream already.
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
