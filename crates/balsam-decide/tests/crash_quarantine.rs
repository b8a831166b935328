//! Quarantine of requests that crash upstreams: counting, sharing, expiry and clearing.

use balsam_decide::quarantine::{
    BodyDigest, CrashCount, Quarantine, QuarantineInput, QuarantineOutput, QuarantinePolicy,
    fingerprint,
};
use balsam_types::control::QuarantineEntry;
use balsam_types::{Fingerprint, Incarnation, KeyHash, MemberName, ServiceName, TimeMs};
use rstest::rstest;
use std::collections::BTreeMap;

const TTL_MS: u64 = 600_000;
const CRASHING: Fingerprint = Fingerprint(7);

fn service() -> ServiceName {
    ServiceName::new("s").expect("service name")
}

fn machine(incarnation: u64) -> Quarantine {
    let policy = QuarantinePolicy {
        crashes: 3,
        ttl_ms: TTL_MS,
    };
    let mut machine = Quarantine::new(Incarnation(incarnation));
    let policies = BTreeMap::from([(service(), policy)]);
    machine.handle(TimeMs(0), QuarantineInput::Policies(policies));
    machine
}

fn crash(machine: &mut Quarantine, now: u64) -> Vec<QuarantineOutput> {
    let crashed = QuarantineInput::Crashed {
        service: service(),
        fingerprint: CRASHING,
        sent_at: TimeMs(now),
    };
    machine.handle(TimeMs(now), crashed)
}

fn entry() -> QuarantineEntry {
    QuarantineEntry {
        fingerprint: CRASHING,
        service: service(),
        crashes: 3,
        ttl_ms: TTL_MS,
    }
}

/// Merges the shared row into a machine and writes it back, as a daemon does.
fn share(machine: &mut Quarantine, row: &mut Vec<CrashCount>, now: u64) -> Vec<QuarantineOutput> {
    let outputs = machine.handle(TimeMs(now), QuarantineInput::Row(row.clone()));
    *row = machine.row();
    outputs
}

/// Guards against a request that goes on crashing upstreams while the shared table is unavailable,
/// because its quarantine cannot be committed.
#[test]
fn own_count_refuses_without_table() {
    let mut machine = machine(1);
    for now in [0, 10] {
        assert_eq!(crash(&mut machine, now), [QuarantineOutput::ShareCounts]);
        assert!(!machine.is_refused(TimeMs(now), CRASHING));
    }
    let outputs = crash(&mut machine, 20);
    assert!(outputs.contains(&QuarantineOutput::Commit(entry())));
    assert!(machine.is_refused(TimeMs(20), CRASHING));
    assert!(!machine.is_refused(TimeMs(20), Fingerprint(8)));
}

/// Guards against crashes that count only at the daemon that observed them, and against crashes
/// that count twice when the shared row is merged twice.
#[test]
fn shared_counts_add_up_once() {
    let mut row = Vec::new();
    let mut machines = [machine(1), machine(2), machine(3)];
    for machine in &mut machines[..2] {
        crash(machine, 0);
        share(machine, &mut row, 1);
        share(machine, &mut row, 2);
    }
    assert_eq!(share(&mut machines[2], &mut row, 3), []);
    assert!(!machines[2].is_refused(TimeMs(3), CRASHING));
    crash(&mut machines[0], 4);
    share(&mut machines[0], &mut row, 5);
    let outputs = share(&mut machines[2], &mut row, 6);
    assert_eq!(outputs, [QuarantineOutput::Commit(entry())]);
    assert!(machines[2].is_refused(TimeMs(6), CRASHING));
}

/// Guards against rare crashes that add up over days, and against counts of failed daemons that
/// stay in the shared row for ever.
#[test]
fn counts_expire() {
    let mut row = Vec::new();
    let (mut lost, mut kept) = (machine(1), machine(2));
    crash(&mut lost, 0);
    crash(&mut lost, 0);
    share(&mut lost, &mut row, 1);
    share(&mut kept, &mut row, 2);
    for now in [TTL_MS + 2, TTL_MS + 10] {
        share(&mut kept, &mut row, now);
    }
    assert_eq!(row, []);
    crash(&mut kept, TTL_MS + 20);
    assert!(!kept.is_refused(TimeMs(TTL_MS + 20), CRASHING));
}

/// Guards against entries that never expire, and against an expiry that depends on the clocks of
/// other daemons.
#[test]
fn entry_lasts_from_adoption() {
    let mut machine = machine(1);
    let state = BTreeMap::from([(CRASHING, entry())]);
    machine.handle(TimeMs(1_000), QuarantineInput::Adopted(state.clone()));
    machine.handle(TimeMs(500_000), QuarantineInput::Adopted(state));
    assert!(machine.is_refused(TimeMs(TTL_MS + 999), CRASHING));
    assert!(!machine.is_refused(TimeMs(TTL_MS + 1_000), CRASHING));
    let outputs = machine.handle(TimeMs(TTL_MS + 1_000), QuarantineInput::Tick);
    let clear = QuarantineOutput::Clear {
        fingerprint: CRASHING,
    };
    assert_eq!(outputs, [clear]);
    // New crashes count even though the expired entry has not been cleared yet.
    for now in 2_000..2_003 {
        crash(&mut machine, TTL_MS + now);
    }
    assert!(machine.is_refused(TimeMs(TTL_MS + 2_003), CRASHING));
}

/// Guards against a request that is refused again after clearing, because its earlier crashes are
/// still in the shared row.
#[test]
fn clearing_forgets_crashes() {
    let mut row = Vec::new();
    let (mut one, mut two) = (machine(1), machine(2));
    for now in 0..3 {
        crash(&mut one, now);
    }
    share(&mut one, &mut row, 10);
    share(&mut two, &mut row, 11);
    for machine in [&mut one, &mut two] {
        let state = BTreeMap::from([(CRASHING, entry())]);
        machine.handle(TimeMs(20), QuarantineInput::Adopted(state));
        let cleared = QuarantineInput::Adopted(BTreeMap::new());
        let outputs = machine.handle(TimeMs(30), cleared);
        assert_eq!(outputs, [QuarantineOutput::ShareCounts]);
        assert!(!machine.is_refused(TimeMs(30), CRASHING));
    }
    // The row still contains the earlier crashes of the first daemon.
    assert_eq!(share(&mut two, &mut row.clone(), 40), []);
    assert!(!two.is_refused(TimeMs(40), CRASHING));
    crash(&mut one, 50);
    share(&mut one, &mut row, 51);
    share(&mut two, &mut row, 52);
    assert!(!two.is_refused(TimeMs(52), CRASHING));
}

/// Guards against memory use that grows with the number of different crashing requests.
#[test]
fn counts_are_bounded() {
    let mut machine = machine(1);
    for at in 0..5_000 {
        let crashed = QuarantineInput::Crashed {
            service: service(),
            fingerprint: Fingerprint(at),
            sent_at: TimeMs(at),
        };
        machine.handle(TimeMs(at), crashed);
    }
    let row = machine.row();
    assert!(row.len() <= 1_024);
    assert_eq!(row.last().expect("count").fingerprint, Fingerprint(4_999));
}

/// Guards against a fingerprint that depends on how the body was divided into parts, or that leaves
/// out a part of the request.
#[rstest]
#[case(0)]
#[case(1)]
#[case(1_024)]
#[case(5_000)]
fn fingerprint_covers_whole_request(#[case] length: usize) {
    let body: Vec<u8> = (0..length).map(|at| (at % 251) as u8).collect();
    let digest = |parts: usize| {
        let mut digest = BodyDigest::new();
        for part in body.chunks(parts) {
            digest.update(part);
        }
        digest.finish()
    };
    assert_eq!(digest(7), digest(1_500));
    let mut longer = BodyDigest::new();
    longer.update(&body);
    longer.update([0]);
    assert_ne!(longer.finish(), digest(7));

    let member = |name: &str| MemberName::new(name).expect("member name");
    let fingerprint_of = |name: &str, method: &str, path: &str, key: &str, digest: u64| {
        fingerprint(member(name), method, path, KeyHash::of(key), digest)
    };
    let all = [
        fingerprint_of("a", "GET", "/p", "k", 1),
        fingerprint_of("b", "GET", "/p", "k", 1),
        fingerprint_of("a", "PUT", "/p", "k", 1),
        fingerprint_of("a", "GET", "/q", "k", 1),
        fingerprint_of("a", "GET", "/p", "l", 1),
        fingerprint_of("a", "GET", "/p", "k", 2),
        fingerprint_of("aG", "ET", "/p", "k", 1),
    ];
    let distinct: std::collections::BTreeSet<_> = all.iter().collect();
    assert_eq!(distinct.len(), all.len());
}
