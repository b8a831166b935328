//! Tests which daemons the leader makes keepers, and what becomes of the list with a new leader.

mod room_sim;

use balsam_decide::room::{KeeperCandidate, KeeperDaemon, KeeperElection, KeeperList};
use balsam_types::TimeMs;
use room_sim::{daemon, zone};
use rstest::rstest;

const START: TimeMs = TimeMs(100_000);

/// How long the leader keeps a keeper that it does not hear from, by the page.
const SILENT_MS: u64 = 2_500;

fn candidate(number: u16, zone_number: u16, weight: u16) -> KeeperCandidate {
    KeeperCandidate {
        daemon: KeeperDaemon {
            address: daemon(number),
            zone: zone(zone_number),
            weight,
        },
        is_leaving: false,
    }
}

/// Lets daemons greet the leader; the even ones are in zone 0.
fn greet(election: &mut KeeperElection, now: TimeMs, numbers: impl IntoIterator<Item = u16>) {
    for number in numbers {
        election.heard(now, candidate(number, number % 2, 100 - number));
    }
}

fn numbers(list: &KeeperList) -> Vec<u16> {
    let addresses = list.keepers.iter().map(|keeper| keeper.address.port());
    addresses.map(|port| port - 7_000).collect()
}

/// Guards against weak keepers, against zones without any, and against lists that are too long: a
/// quarter of each zone, at least 2 and at most 16.
#[rstest]
#[case::quarter(40, 10)]
#[case::least(6, 4)]
#[case::single(1, 1)]
#[case::most(160, 32)]
fn strongest_quarter(#[case] daemons: u16, #[case] keepers: usize) {
    let mut election = KeeperElection::new();
    for number in 0..daemons {
        election.heard(START, candidate(number, number % 2, 200 - number));
    }
    let list = election.publish(START, 7).expect("a list");
    let expected: Vec<u16> = (0..keepers as u16).collect();
    assert_eq!(numbers(&list), expected);
}

/// Guards against daemons that go on to ask a keeper that stops or has stopped.
#[test]
fn replaced_keepers() {
    let mut election = KeeperElection::new();
    greet(&mut election, START, 0..20);
    let first = election.publish(START, 7).expect("a list");
    assert_eq!(numbers(&first), [0, 1, 2, 3, 4, 5]);

    // Daemon 0 leaves, and daemon 3 falls silent.
    let mut now = START;
    while now.since(START) <= SILENT_MS {
        now = now.after(500);
        greet(&mut election, now, (0..20).filter(|number| *number != 3));
        let mut leaving = candidate(0, 0, 100);
        leaving.is_leaving = true;
        election.heard(now, leaving);
        election.publish(now, 7);
    }
    assert_eq!(numbers(election.list()), [1, 2, 4, 5, 6, 7]);
    assert!(election.list().is_newer_than(&first));
}

/// Guards against a new leader that knows none of the daemons yet, publishes a list with only itself,
/// and thereby moves all groups: it keeps the list until all have had time to greet it, also if the
/// list has not changed for long.
#[test]
fn new_leader() {
    let mut former = KeeperElection::new();
    greet(&mut former, START, 0..20);
    let list = former.publish(START, 7).expect("a list");

    let mut election = KeeperElection::new();
    assert!(election.adopt(list.clone()));
    let mut now = START.after(60_000);
    // At first only itself, then each second some of the others.
    for greeted in [1, 1, 8, 14, 20] {
        greet(&mut election, now, 0..greeted);
        if let Some(published) = election.publish(now, 8) {
            assert_eq!(published.keepers, list.keepers);
            assert!(published.is_newer_than(&list));
        }
        now = now.after(500);
    }
    greet(&mut election, now, 0..20);
    election.publish(now, 8);
    assert_eq!(election.list().keepers, list.keepers);
}

/// Guards against a new leader that publishes a keeper which has told it that it stops.
#[test]
fn leaving_keeper() {
    let mut former = KeeperElection::new();
    greet(&mut former, START, 0..20);
    let list = former.publish(START, 7).expect("a list");
    let mut election = KeeperElection::new();
    election.adopt(list);
    let mut leaving = candidate(0, 0, 100);
    leaving.is_leaving = true;
    election.heard(START, leaving);
    let published = election.publish(START, 8).expect("a list");
    assert_eq!(numbers(&published), [1, 2, 3, 4, 5]);
}

/// Guards against a former leader that has not learnt of its end and goes back from the list of its
/// successor to its own.
#[test]
fn former_leader() {
    let mut election = KeeperElection::new();
    greet(&mut election, START, 0..20);
    election.publish(START, 7);
    let successor = KeeperList {
        lead: 8,
        number: 0,
        keepers: vec![candidate(9, 1, 50).daemon],
    };
    assert!(election.adopt(successor.clone()));
    assert_eq!(election.publish(START.after(1_000), 7), None);
    assert_eq!(election.list(), &successor);
}

/// Guards against daemons that have missed a list and never get it, and against lists that change too
/// often while many daemons start.
#[test]
fn repeated_list() {
    let mut election = KeeperElection::new();
    let mut published = 0;
    for ms in (0..=10_000).step_by(100) {
        let now = START.after(ms);
        greet(&mut election, now, 0..4);
        published += u32::from(election.publish(now, 7).is_some());
    }
    // At once, after 5 s and after 10 s.
    assert_eq!(published, 3);
    greet(&mut election, START.after(10_100), 0..20);
    assert_eq!(election.publish(START.after(10_100), 7), None);
    assert!(election.publish(START.after(10_500), 7).is_some());
}
