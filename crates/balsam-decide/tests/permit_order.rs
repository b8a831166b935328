//! Tests the order in which a keeper serves the requests of all daemons, and whom it refuses.

mod room_sim;

use balsam_decide::pool::PoolInput;
use balsam_decide::room::{PermitAnswer, PermitRefusal};
use balsam_types::TimeMs;
use room_sim::fleet::{Fleet, FleetTerms};
use room_sim::{
    Ask, Bench, DEADLINE_MS, OBJECTIVE_MS, ask, asked, cluster, keeper_list, pool, request,
    upstream,
};
use rstest::rstest;
use std::collections::BTreeSet;

/// Returns the order in which the requests are granted after all slots were taken.
fn served(asks: &[Ask]) -> Vec<u64> {
    let mut bench = Bench::new(1);
    bench.fill(1, 1);
    for ask in asks {
        let answers = bench.ask(*ask);
        assert!(
            matches!(answers[..], [(_, PermitAnswer::Queued { .. })]),
            "{answers:?}"
        );
    }
    let mut served = Vec::new();
    for running in 1..=3 {
        served.extend(bench.finish(running));
    }
    served
}

const fn late(id: u64, rank: u32, deadline_left_ms: u32) -> Ask {
    Ask {
        id,
        rank,
        objective_left_ms: 0,
        deadline_left_ms,
    }
}

/// Guards against urgent requests that wait behind less urgent ones that came earlier (R3).
#[test]
fn urgent_first() {
    let asks = [ask(11, 2), ask(12, 2), ask(13, 1), ask(14, 0)];
    assert_eq!(served(&asks)[..2], [14, 13]);
}

/// Guards against an overload in which all requests are served, but each of them too late: those
/// that can still meet their objective go first, also before a late one of the next rank.
#[rstest]
#[case::same_rank(late(11, 1, 1_500), ask(12, 1))]
#[case::next_rank(late(11, 0, 1_500), ask(12, 1))]
fn in_time_first(#[case] first: Ask, #[case] second: Ask) {
    assert_eq!(served(&[first, second]), [12, 11]);
}

/// Guards against callers that return after a refusal, have less time left than the others that are
/// late, and are refused again.
#[test]
fn returned_first() {
    assert_eq!(served(&[late(11, 1, 1_900), late(12, 1, 1_200)]), [12, 11]);
}

/// Guards against the use of a slot for a request that cannot be answered in time, and against
/// refused callers that all return at one moment (R4). The page allows a spread of a quarter.
#[test]
fn no_time_left() {
    let mut bench = Bench::new(1);
    let mut times = BTreeSet::new();
    for id in 1..=40 {
        let answers = bench.ask(late(id, 0, 100));
        let [
            (
                _,
                PermitAnswer::Refused {
                    refusal: PermitRefusal::Busy,
                    retry_after_ms,
                },
            ),
        ] = answers[..]
        else {
            panic!("not refused: {answers:?}");
        };
        times.insert(retry_after_ms);
    }
    assert_spread(&times);
}

/// Guards against a repeat that its daemon sends without a permit because all upstreams of the group
/// have had the request: the group has no room for it, but it is kept.
#[test]
fn tried_everywhere() {
    let mut bench = Bench::new(1);
    let tried = vec![upstream(0, 0).entry.name.clone()];
    let answers = bench.ask_except(bench.group(), ask(1, 0), tried);
    assert!(
        matches!(
            answers[..],
            [(
                1,
                PermitAnswer::Refused {
                    refusal: PermitRefusal::Busy,
                    ..
                }
            )]
        ),
        "{answers:?}"
    );
}

/// Guards against callers that come back together because the queue was full, or because their
/// requests waited in vain.
#[test]
fn waited_in_vain() {
    let mut bench = Bench::new(4);
    bench.fill(1, 4);
    for id in 100..140 {
        bench.ask(ask(id, 0));
    }
    let mut times = BTreeSet::new();
    for _ in 0..DEADLINE_MS / 10 {
        for (id, answer) in room_sim::answers(&bench.wait(10)) {
            if let PermitAnswer::Refused { retry_after_ms, .. } = answer
                && id >= 100
            {
                times.insert(retry_after_ms);
            }
        }
    }
    assert_spread(&times);
}

/// Checks that callers return over a quarter of the earliest time, at different times.
fn assert_spread(times: &BTreeSet<u32>) {
    let (Some(first), Some(last)) = (times.first(), times.last()) else {
        panic!("nothing was refused");
    };
    assert!(*last <= first + first / 4, "{times:?}");
    assert!(*last >= first + first / 8, "{times:?}");
}

/// Guards against urgent requests that are refused more often than less urgent ones while demand is
/// one and a half times the capacity, half of it urgent. R3 allows a difference of 5 in 100.
#[test]
fn ranks_in_overload() {
    let terms = FleetTerms {
        daemons: 59,
        zones: 2,
        upstreams: 20,
        queue: 3,
        lost_permille: 0,
        daemons_per_slot: 8,
        latency_ms: 1,
    };
    let mut fleet = Fleet::new(terms, &keeper_list(1, &[(0, 0), (1, 1), (2, 0), (3, 1)]));
    fleet.run(10_000, 150);
    fleet.drain();
    let counts = fleet.counts;
    let share = |rank: usize| counts.sent_by_rank[rank] * 100 / counts.called_by_rank[rank];
    assert!(share(0) + 5 >= share(1), "{counts:?}");
    assert!(
        share(0) >= 95,
        "urgent demand is below capacity: {counts:?}"
    );
}

/// Guards against one caller with a far deadline that makes all others of its route look as if they
/// had returned after a refusal, so that they are served as late ones.
#[test]
fn far_deadline() {
    let now = TimeMs(100_000);
    let keepers = keeper_list(1, &[(5, 0)]);
    let mut pool = pool(now, cluster(&[upstream(1, 0)], false, 59, &keepers));
    pool.handle(now, PoolInput::Request(request(now, 1, 60_000)));
    let usual = request(now, 2, u64::from(DEADLINE_MS));
    let asked = asked(&pool.handle(now, PoolInput::Request(usual)));
    assert_eq!(asked[0].objective_left_ms, OBJECTIVE_MS);
}

/// Guards against returning callers that count as new ones: their objective began with their first
/// attempt.
#[test]
fn returned_callers() {
    let now = TimeMs(100_000);
    let keepers = keeper_list(1, &[(5, 0)]);
    let mut pool = pool(now, cluster(&[upstream(1, 0)], false, 59, &keepers));
    let wait_ms = u64::from(DEADLINE_MS);
    pool.handle(now, PoolInput::Request(request(now, 1, wait_ms)));
    let returning = request(now, 2, wait_ms - 300);
    let asked = asked(&pool.handle(now, PoolInput::Request(returning)));
    assert_eq!(asked[0].objective_left_ms, OBJECTIVE_MS - 300);
}
