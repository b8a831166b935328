//! Fairness between the members of one rank that compete for slots and places in the queue.

#[allow(dead_code, reason = "the simulation is shared with other tests")]
#[path = "support/slot_sim.rs"]
mod slot_sim;
mod support;

use balsam_decide::dispatch::{Dispatch, DispatchInput, SlotResult, Ticket};
use balsam_types::{NotRunReason, TimeMs};
use rstest::rstest;
use slot_sim::{Source, simulate};
use std::sync::Arc;
use support::{member, policy, rank, rank_policy, refused, request, started};

const DURATION_MS: u64 = 60_000;

fn source(member: &'static str, offered_slots: f64, service_ms: f64) -> Source {
    Source {
        rank: "download",
        member,
        offered_slots,
        service_ms,
        deadline_ms: 3_000,
    }
}

/// Guards against a member that floods a rank and takes slots from a member that stays within its
/// fair share.
#[rstest]
#[case::same_requests(100.0)]
#[case::longer_requests(400.0)]
fn fair_share_survives_flood(#[case] flood_service_ms: f64, #[values(1, 2, 3)] seed: u64) {
    let limits = policy(4, &[("download", rank_policy(1, 0, 4, 256))]);
    // With two members the fair share is two of the four slots.
    let sources = [
        source("fair", 2.0, 100.0),
        source("flood", 20.0, flood_service_ms),
    ];
    let tallies = simulate(limits, &sources, DURATION_MS, seed);
    let kept = tallies[0].useful_ms as f64 / (2.0 * DURATION_MS as f64);
    assert!(kept >= 0.9, "the member gets {kept} of its fair share");
}

/// Guards against weights without effect, and against starvation of the member of the lower weight.
#[rstest]
fn slots_follow_weights(#[values(1, 2, 3)] seed: u64) {
    let mut limits = policy(4, &[("download", rank_policy(1, 0, 4, 256))]);
    let weights = [("light", 1), ("heavy", 3)];
    limits.weights = weights
        .iter()
        .map(|(name, weight)| ((rank("download"), member(name)), *weight))
        .collect();
    let sources = weights.map(|(name, _)| source(name, 20.0, 100.0));
    let tallies = simulate(limits, &sources, DURATION_MS, seed);
    let used = |at: usize| tallies[at].used_ms as f64;
    let share = used(1) / (used(0) + used(1));
    assert!(
        (0.7..=0.8).contains(&share),
        "a weight of 3 out of 4 gets a share of {share}"
    );
}

/// Guards against a member that fills the queue, so that the requests of others are refused.
#[test]
fn flooding_member_loses_queue_places() {
    let limits = policy(1, &[("download", rank_policy(1, 0, 1, 10))]);
    let mut dispatch = Dispatch::new(Arc::new(limits));
    let mut enqueue = |ticket: u64, member: &str| {
        let request = request(ticket, "download", member, 1_000_000);
        dispatch.handle(TimeMs(0), DispatchInput::Enqueue(request))
    };
    for ticket in 0..11 {
        assert_eq!(
            refused(&enqueue(ticket, "flood"), NotRunReason::QueueFull),
            []
        );
    }
    assert_eq!(
        refused(&enqueue(11, "flood"), NotRunReason::QueueFull),
        [11]
    );
    // Each arriving request displaces the newest request of the flooding member.
    for (ticket, lost) in [(20, 10), (21, 9), (22, 8), (23, 7), (24, 6)] {
        assert_eq!(
            refused(&enqueue(ticket, "late"), NotRunReason::QueueFull),
            [lost]
        );
    }
    // At equal shares the arriving request is refused.
    assert_eq!(refused(&enqueue(25, "late"), NotRunReason::QueueFull), [25]);
    assert_eq!(
        refused(&enqueue(12, "flood"), NotRunReason::QueueFull),
        [12]
    );
}

/// Guards against a member that has to wait for the whole backlog of a member that came first.
#[test]
fn late_member_is_served_in_turn() {
    let limits = policy(1, &[("download", rank_policy(1, 0, 1, 100))]);
    let mut dispatch = Dispatch::new(Arc::new(limits));
    for ticket in 0..50 {
        let request = request(ticket, "download", "flood", 1_000_000);
        dispatch.handle(TimeMs(0), DispatchInput::Enqueue(request));
    }
    let late = request(100, "download", "late", 1_000_000);
    dispatch.handle(TimeMs(0), DispatchInput::Enqueue(late));
    let mut order = vec![0];
    for step in 0..4 {
        let ticket = Ticket(order[step]);
        let result = SlotResult::Served;
        let now = TimeMs(10 * (step as u64 + 1));
        order.extend(started(
            &dispatch.handle(now, DispatchInput::Finished { ticket, result }),
        ));
    }
    assert!(
        order[..4].contains(&100),
        "the late member waits behind {order:?}"
    );
}
