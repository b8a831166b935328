//! Tests the plans for ranges of keys, and the deltas that carry them to other daemons.

use balsam_decide::keys::{Candidate, MoveScope, apply_delta, delta, plan};
use balsam_types::{Owner, ServiceName, ServiceRanges, ShardKey, StartTime, UpstreamName};
use std::net::SocketAddr;

fn owner(index: u16) -> Owner {
    Owner {
        upstream: UpstreamName::new(format!("u{index}")).expect("a valid name"),
        born: StartTime(1),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + index)),
    }
}

fn candidates(count: u16) -> Vec<Candidate> {
    (0..count)
        .map(|index| Candidate {
            owner: owner(index),
            weight: 3.0,
        })
        .collect()
}

fn initial_ranges(count: u16) -> ServiceRanges {
    let empty = ServiceRanges::new(ServiceName::new("keyed").expect("a valid name"));
    plan(&empty, &candidates(count), &[], MoveScope::All).expect("a first plan")
}

fn end_moves(mut ranges: ServiceRanges) -> ServiceRanges {
    for assignment in &mut ranges.assignments {
        assignment.former.clear();
    }
    ranges
}

/// Plans until nothing changes, and fails if that takes more than 200 plans.
fn plan_until_stable(
    mut ranges: ServiceRanges,
    candidates: &[Candidate],
    keys: &[ShardKey],
) -> ServiceRanges {
    for _ in 0..200 {
        match plan(&ranges, candidates, keys, MoveScope::All) {
            Some(next) => {
                assert!(next.is_valid(), "{next:?}");
                ranges = end_moves(next);
            }
            None => return ranges,
        }
    }
    panic!("the plans do not become stable");
}

fn load(ranges: &ServiceRanges, keys: &[ShardKey], of: &Owner) -> usize {
    let owned = |key: &&ShardKey| ranges.find(**key).is_some_and(|found| found.owner == *of);
    keys.iter().filter(owned).count()
}

/// Guards against keys without an owner and upstreams without keys after the first plan.
#[test]
fn first_plan() {
    let ranges = initial_ranges(7);
    assert!(ranges.is_valid());
    for candidate in candidates(7) {
        assert!(
            ranges
                .assignments
                .iter()
                .any(|found| found.owner == candidate.owner)
        );
    }
}

/// Guards against adjacent busy keys that stay at a few upstreams.
#[test]
fn busy_neighbours() {
    let keys: Vec<ShardKey> = (0..400).map(|index| ShardKey(30_000 + index / 2)).collect();
    let ranges = plan_until_stable(initial_ranges(10), &candidates(10), &keys);
    let most = (0..10)
        .map(|index| load(&ranges, &keys, &owner(index)))
        .max();
    assert!(
        most <= Some(60),
        "{most:?} of 400 requests at one upstream of ten"
    );
}

/// Guards against plans that never become stable if one key is busier than all others together.
#[test]
fn single_busy_key() {
    let keys = vec![ShardKey(30_000); 400];
    let ranges = plan_until_stable(initial_ranges(10), &candidates(10), &keys);
    assert!(ranges.is_valid());
}

/// Guards against a missing former owner when ranges of a removed upstream move, and against an
/// upstream that joined and gets no keys.
#[test]
fn left_and_joined() {
    let ranges = initial_ranges(4);
    let mut remaining = candidates(4);
    remaining.remove(0);
    remaining.push(Candidate {
        owner: owner(9),
        weight: 3.0,
    });
    let next = plan(&ranges, &remaining, &[], MoveScope::All).expect("a plan");
    for (old, new) in ranges.assignments.iter().zip(&next.assignments) {
        if old.owner == owner(0) && old.range == new.range {
            assert_eq!(new.former, [owner(0)]);
            assert!(new.fence > old.fence);
        }
    }
    let stable = plan_until_stable(end_moves(next), &remaining, &[]);
    assert!(
        stable
            .assignments
            .iter()
            .any(|found| found.owner == owner(9))
    );
}

/// Guards against a delta from which another daemon derives different assignments, and against
/// applying a delta to assignments that it does not fit.
#[test]
fn delta_fits() {
    let old = initial_ranges(5);
    let keys: Vec<ShardKey> = (0..300).map(|index| ShardKey(index / 4)).collect();
    let new = plan(&old, &candidates(5), &keys, MoveScope::All).expect("a plan");
    let difference = delta(&old, &new);
    assert!(difference.assignments.len() < new.assignments.len());
    assert_eq!(apply_delta(&old, &difference), Some(new));
    assert_eq!(
        apply_delta(&initial_ranges(3), &difference).filter(|found| !found.is_valid()),
        None
    );
}

/// Time within which the plans must spread the 14 hottest keys, in milliseconds: the hottest keys
/// change every few minutes.
const SPREAD_MS: u64 = 60_000;

/// Interval between two plans of the leader, in milliseconds.
const PLAN_MS: u64 = 250;

/// Guards against hottest keys that share upstreams until they change again, because they are
/// adjacent.
#[test]
fn hottest_keys_change() {
    const UPSTREAMS: u16 = 100;
    const HOTTEST: u16 = 14;
    let candidates = candidates(UPSTREAMS);
    let mut ranges = initial_ranges(UPSTREAMS);
    for turn in 0..5_u16 {
        let hottest = 5_000 + turn * 9_000;
        // 840 of 2,800 requests (30 %) are for the 14 hottest keys, 60 for each.
        let mut keys: Vec<ShardKey> = (0..1_960_u16).map(|index| ShardKey(index * 33)).collect();
        for key in hottest..hottest + HOTTEST {
            keys.extend([ShardKey(key); 60]);
        }
        keys.sort_unstable();
        let mut plans = 0;
        while let Some(next) = plan(&ranges, &candidates, &keys, MoveScope::All) {
            plans += 1;
            assert!(
                plans * PLAN_MS <= SPREAD_MS,
                "not stable after {plans} plans"
            );
            ranges = end_moves(next);
        }
        let owners = (hottest..hottest + HOTTEST).map(|key| {
            let found = ranges.find(ShardKey(key)).expect("an owner");
            found.owner.upstream.clone()
        });
        let mut owners: Vec<UpstreamName> = owners.collect();
        owners.sort_unstable();
        owners.dedup();
        assert_eq!(owners.len(), usize::from(HOTTEST), "turn {turn}");
        println!("turn {turn}: {plans} plans");
    }
}
