//! Overload of the least urgent rank, and also of the most urgent one, in simulated time.

#[allow(dead_code, reason = "the simulation is shared with other tests")]
#[path = "support/slot_sim.rs"]
mod slot_sim;
mod support;

use balsam_decide::dispatch::DispatchPolicy;
use balsam_decide::settings::RankPolicy;
use rstest::rstest;
use slot_sim::{Source, Tally, simulate};
use support::{policy, rank_policy};

const DURATION_MS: u64 = 60_000;
/// The load of a flood, as a multiple of the rank's ordinary load.
const FLOOD_FACTOR: f64 = 10.0;
const MEMBERS: [&str; 4] = ["m0", "m1", "m2", "m3"];

/// The share of the slots that the ordinary load of each rank takes.
const LOOKUP_LOAD: f64 = 0.2;
const ORDER_LOAD: f64 = 0.1;
const DOWNLOAD_LOAD: f64 = 0.3;

fn limits(slots: u32) -> DispatchPolicy {
    let third = slots / 3;
    let with_deadline = |policy: RankPolicy, deadline_ms| RankPolicy {
        deadline_ms,
        ..policy
    };
    let ranks = [
        (
            "lookup",
            with_deadline(rank_policy(1, third, slots, 256), 100),
        ),
        (
            "order",
            with_deadline(rank_policy(2, third, slots, 256), 1_000),
        ),
        (
            "download",
            with_deadline(rank_policy(9, third, 2 * third, 256), 3_000),
        ),
    ];
    policy(slots, &ranks)
}

fn source(rank: &'static str, member: &'static str, offered_slots: f64) -> Source {
    let (service_ms, deadline_ms) = match rank {
        "lookup" => (5.0, 100),
        "order" => (15.0, 1_000),
        _ => (100.0, 3_000),
    };
    Source {
        rank,
        member,
        offered_slots,
        service_ms,
        deadline_ms,
    }
}

fn nominal(slots: u32) -> Vec<Source> {
    let ranks = [
        ("lookup", LOOKUP_LOAD),
        ("order", ORDER_LOAD),
        ("download", DOWNLOAD_LOAD),
    ];
    let share = f64::from(slots) / MEMBERS.len() as f64;
    let of_rank = |(rank, load)| MEMBERS.map(|member| source(rank, member, load * share));
    ranks.into_iter().flat_map(of_rank).collect()
}

/// Returns the sum of the tallies of the ordinary members in a rank.
fn ordinary(sources: &[Source], tallies: &[Tally], rank: &str) -> Tally {
    let ordinary = |source: &Source| source.rank == rank && MEMBERS.contains(&source.member);
    total(sources, tallies, ordinary)
}

fn total(sources: &[Source], tallies: &[Tally], wanted: impl Fn(&Source) -> bool) -> Tally {
    let pairs = sources.iter().zip(tallies);
    let wanted = pairs.filter(|(source, _)| wanted(source));
    wanted.fold(Tally::default(), |sum, (_, tally)| sum.plus(*tally))
}

/// Guards against a flood of one rank that lowers the success rate of the others, against a rank
/// that gets less than its guaranteed slots, and against slot time spent on requests that miss
/// their deadline.
#[rstest]
fn flood_leaves_other_ranks_alone(
    #[values(3, 6)] slots: u32,
    #[values(false, true)] lookups_too: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let sources = nominal(slots);
    let baseline = simulate(limits(slots), &sources, DURATION_MS, seed);
    let mut flooded_sources = sources.clone();
    let flood = |rank, load: f64| source(rank, "flood", load * FLOOD_FACTOR * f64::from(slots));
    flooded_sources.push(flood("download", DOWNLOAD_LOAD));
    if lookups_too {
        flooded_sources.push(flood("lookup", LOOKUP_LOAD));
    }
    let flooded = simulate(limits(slots), &flooded_sources, DURATION_MS, seed);

    for rank in ["lookup", "order"] {
        let before = ordinary(&sources, &baseline, rank).success();
        let after = ordinary(&flooded_sources, &flooded, rank).success();
        assert!(
            after >= 0.95 * before,
            "success rate of {rank} falls from {before} to {after}"
        );
    }
    let downloads = total(&flooded_sources, &flooded, |source| {
        source.rank == "download"
    });
    let guaranteed_ms = f64::from(slots / 3) * DURATION_MS as f64;
    let held = downloads.used_ms as f64 / guaranteed_ms;
    assert!(
        held >= 0.99,
        "downloads hold {held} of their guaranteed slots"
    );
    let all = total(&flooded_sources, &flooded, |_| true);
    let useful = all.useful_ms as f64 / (f64::from(slots) * DURATION_MS as f64);
    assert!(useful >= 0.9, "useful work takes {useful} of the slots");
}
