//! Tests that a store that goes back to an earlier copy gives no key two owners and no fencing token
//! two uses.

mod key_world;

use key_world::{Cluster, Event, Flaw, Report, Restart};
use rstest::rstest;

const LENGTH_MS: u64 = 60_000;

/// When the scripted event happens that the restoration falls into. The first assignment has ended
/// by then, and the first leader has written that it need not wait for any other.
const EVENT_MS: u64 = 8_000;

/// Step between two restorations of a schedule, in milliseconds. A move takes a few of them.
const RESTORE_STEP_MS: usize = 50;

/// How old the copy is to which the store goes back, in milliseconds.
const COPY_AGES_MS: [u64; 5] = [0, 50, 250, 1_000, 6_000];

/// The time for which no leader gives a grant if none knows which grants are in force: the lease of
/// a leader, the wait for an answer, the longest grant with its allowances, and an election.
const UNKNOWN_GRANTS_MS: u64 = 8_000 + 700 + 10_350 + 3_000;

/// Schedules of random faults.
const RANDOM_SCHEDULES: u64 = 1_000;

fn play(events: &[(u64, Event)]) -> Report {
    let cluster = Cluster::new(1, Flaw::None, Restart::Slow).with_script(events.iter().copied());
    let report = cluster.run(LENGTH_MS);
    assert_eq!(report.double_holds, 0, "{events:?}: {report:?}");
    assert_eq!(report.reused_tokens, 0, "{events:?}: {report:?}");
    report
}

/// Returns the times around the event at which the store is restored, each with the age of the copy.
fn restorations() -> impl Iterator<Item = (u64, u64)> {
    let times = (EVENT_MS - 200..EVENT_MS + 2_000).step_by(RESTORE_STEP_MS);
    times.flat_map(|at_ms| COPY_AGES_MS.map(|age_ms| (at_ms, age_ms)))
}

/// Guards against a second owner at each step of a move: the rows that the store has lost may have
/// started the move, or ended it.
///
/// Keys that do not move must keep their owners meanwhile, so that the leader must go on renewing.
/// Those that do wait until all grants that may have been lost have expired.
#[test]
fn steps_of_move() {
    for (at_ms, age_ms) in restorations() {
        let report = play(&[(EVENT_MS, Event::Drain(0)), (at_ms, Event::Restore(age_ms))]);
        assert!(report.longest_gap_ms <= UNKNOWN_GRANTS_MS, "{report:?}");
    }
}

/// Guards against keys that lose their owners although the leader knows all grants.
#[test]
fn known_grants() {
    for age_ms in COPY_AGES_MS {
        let report = play(&[(EVENT_MS + 4_000, Event::Restore(age_ms))]);
        // The first assignment takes longer than any later gap may.
        assert!(report.longest_gap_ms < 2_500, "{age_ms}: {report:?}");
    }
}

/// Guards against a second owner, and against keys that stay without an owner, if the leader changes
/// when the store is restored.
#[rstest]
#[case::restarted(vec![Event::RestartDaemon(0)])]
#[case::frozen(vec![Event::Freeze(0, 3_000)])]
#[case::frozen_for_long(vec![Event::Freeze(0, 15_000)])]
#[case::all_restarted(vec![Event::RestartAll])]
#[case::restarted_in_move(vec![Event::Drain(0), Event::RestartDaemon(0)])]
fn election(#[case] events: Vec<Event>) {
    for (at_ms, age_ms) in restorations() {
        let events = events.iter().map(|event| (EVENT_MS, *event));
        let restore = [(at_ms, Event::Restore(age_ms))];
        let mut events: Vec<(u64, Event)> = events.chain(restore).collect();
        events.sort_by_key(|(at_ms, _)| *at_ms);
        let report = play(&events);
        assert!(
            report.longest_gap_ms <= UNKNOWN_GRANTS_MS,
            "{events:?}: {report:?}"
        );
    }
}

/// Guards against a second owner if the store is restored once more before the first restoration
/// has been dealt with.
#[test]
fn twice_in_a_row() {
    for (at_ms, age_ms) in restorations() {
        for pause_ms in [0, 300, 3_000] {
            play(&[
                (EVENT_MS, Event::Drain(0)),
                (at_ms, Event::Restore(age_ms)),
                (at_ms + pause_ms, Event::Restore(age_ms / 2)),
            ]);
        }
    }
}

/// Runs a schedule of random faults and restorations. Returns whether it had two owners of a key or
/// two uses of a token.
fn is_broken(seed: u64, flaw: Flaw) -> bool {
    let cluster = Cluster::new(seed, flaw, Restart::Slow).with_restores();
    let report = cluster.run(LENGTH_MS);
    let is_broken = report.double_holds > 0 || report.reused_tokens > 0;
    if is_broken {
        println!("{flaw:?}, seed {seed}: {report:?}");
    }
    is_broken
}

/// Guards against two owners and against tokens that are used twice while daemons are cut off,
/// frozen and killed and writes arrive late.
#[rstest]
#[case::part_1(0)]
#[case::part_2(1)]
#[case::part_3(2)]
fn one_owner(#[case] part: u64) {
    let seeds = part * RANDOM_SCHEDULES..(part + 1) * RANDOM_SCHEDULES;
    let broken = seeds.filter(|seed| is_broken(*seed, Flaw::None)).count();
    assert_eq!(broken, 0, "schedules with two owners or a token used twice");
}

/// Guards that the schedules above notice when a safeguard is removed.
#[rstest]
#[case::era_hidden(Flaw::EraHidden)]
#[case::no_restored_wait(Flaw::NoRestoredWait)]
fn noticed_flaw(#[case] flaw: Flaw) {
    let is_noticed = (0..RANDOM_SCHEDULES).any(|seed| is_broken(seed, flaw));
    assert!(is_noticed, "{flaw:?} went unnoticed");
}
