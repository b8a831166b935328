//! Limits of the dispatcher: slots, minimum and maximum per rank, deadlines and the adaptive limit.

mod support;

use balsam_decide::dispatch::{Dispatch, DispatchInput, DispatchOutput, SlotResult, Ticket};
use balsam_types::{NotRunReason, TimeMs};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use support::{policy, rank_policy, refused, request, started};

const LATE_DEADLINE: u64 = 1_000_000;

fn enqueue(dispatch: &mut Dispatch, now: u64, ticket: u64, rank: &str) -> Vec<DispatchOutput> {
    let request = request(ticket, rank, "m", LATE_DEADLINE);
    dispatch.handle(TimeMs(now), DispatchInput::Enqueue(request))
}

fn finish(dispatch: &mut Dispatch, now: u64, ticket: u64, result: SlotResult) -> Vec<u64> {
    let ticket = Ticket(ticket);
    started(&dispatch.handle(TimeMs(now), DispatchInput::Finished { ticket, result }))
}

/// Guards against more running requests than the upstream has slots, and against slots that stay
/// idle while requests wait.
#[test]
fn slots_are_exact() {
    let ranks = [("lookup", rank_policy(1, 0, 100, 100))];
    let mut dispatch = Dispatch::new(Arc::new(policy(3, &ranks)));
    let started: Vec<u64> = (0..10)
        .flat_map(|ticket| started(&enqueue(&mut dispatch, 0, ticket, "lookup")))
        .collect();
    assert_eq!(started, [0, 1, 2]);
    assert_eq!(finish(&mut dispatch, 5, 1, SlotResult::Served), [3]);
    assert_eq!(dispatch.running(), 3);
    assert_eq!(dispatch.waiting(), 6);
}

/// Guards against bulk requests that delay urgent ones, and against a rank that does not get its
/// guaranteed slots.
#[test]
fn priority_rules_above_minimum() {
    let ranks = [
        ("lookup", rank_policy(1, 0, 100, 100)),
        ("download", rank_policy(9, 1, 2, 100)),
    ];
    let mut dispatch = Dispatch::new(Arc::new(policy(3, &ranks)));
    for ticket in 0..6 {
        enqueue(&mut dispatch, 0, ticket, "lookup");
    }
    for ticket in 10..16 {
        enqueue(&mut dispatch, 0, ticket, "download");
    }
    // The first free slot is the guaranteed one of the lower rank; all others go to the urgent
    // rank.
    assert_eq!(finish(&mut dispatch, 1, 0, SlotResult::Served), [10]);
    assert_eq!(finish(&mut dispatch, 1, 1, SlotResult::Served), [3]);
    assert_eq!(finish(&mut dispatch, 2, 10, SlotResult::Served), [11]);
    for ticket in 2..6 {
        finish(&mut dispatch, 3, ticket, SlotResult::Served);
    }
    // Without urgent requests one slot stays idle, because the other rank may hold at most two.
    assert_eq!(dispatch.running(), 2);
}

/// Guards against slot time spent on requests that cannot be answered before the caller's deadline.
#[test]
fn late_requests_are_refused() {
    let ranks = [("lookup", rank_policy(1, 0, 100, 100))];
    let mut dispatch = Dispatch::new(Arc::new(policy(1, &ranks)));
    for ticket in 0..20 {
        let now = ticket * 50;
        enqueue(&mut dispatch, now, ticket, "lookup");
        finish(&mut dispatch, now + 50, ticket, SlotResult::Served);
    }
    enqueue(&mut dispatch, 1_000, 100, "lookup");
    let short = request(101, "lookup", "m", 1_080);
    assert_eq!(
        dispatch.handle(TimeMs(1_000), DispatchInput::Enqueue(short)),
        []
    );
    let wake = dispatch
        .next_wake(TimeMs(1_000))
        .expect("a waiting request");
    assert!(wake > TimeMs(1_020) && wake <= TimeMs(1_040), "{wake}");
    let outputs = dispatch.handle(wake, DispatchInput::Tick);
    assert_eq!(refused(&outputs, NotRunReason::Deadline), [101]);
    assert_eq!(dispatch.next_wake(wake), None);
}

/// Guards against an estimate of the service time that is above every deadline: it refuses all
/// requests, so that no sample ever corrects it.
#[test]
fn estimate_does_not_lock_out() {
    let ranks = [("lookup", rank_policy(1, 0, 100, 100))];
    let mut dispatch = Dispatch::new(Arc::new(policy(1, &ranks)));
    enqueue(&mut dispatch, 0, 0, "lookup");
    finish(&mut dispatch, 30_000, 0, SlotResult::Served);
    let soon = request(1, "lookup", "m", 30_100);
    let outputs = dispatch.handle(TimeMs(30_000), DispatchInput::Enqueue(soon));
    assert_eq!(refused(&outputs, NotRunReason::Deadline), [1]);
    let later = request(2, "lookup", "m", 31_100);
    let outputs = dispatch.handle(TimeMs(31_000), DispatchInput::Enqueue(later));
    assert_eq!(started(&outputs), [2]);
}

/// Guards against a limit that stays high although the upstream sheds load, and against a limit
/// that never recovers.
#[test]
fn limit_follows_shedding() {
    let ranks = [("lookup", rank_policy(1, 0, 100, 1_000))];
    let mut dispatch = Dispatch::new(Arc::new(policy(8, &ranks)));
    let mut running: Vec<u64> = (0..8)
        .flat_map(|ticket| started(&enqueue(&mut dispatch, 0, ticket, "lookup")))
        .collect();
    let shed = running.remove(0);
    finish(&mut dispatch, 1, shed, SlotResult::Shed);
    assert_eq!(dispatch.limit(), 5);
    let shed = running.remove(0);
    finish(&mut dispatch, 1, shed, SlotResult::Shed);
    assert_eq!(
        dispatch.limit(),
        5,
        "requests shed at the same time lower the limit once"
    );
    for ticket in 100..200 {
        running.extend(started(&enqueue(&mut dispatch, 2, ticket, "lookup")));
    }
    assert_eq!(
        dispatch.running(),
        6,
        "a lower limit does not end running requests"
    );
    while !running.is_empty() {
        let ticket = running.remove(0);
        running.extend(finish(&mut dispatch, 3, ticket, SlotResult::Served));
        assert!(dispatch.running() <= 8);
    }
    assert_eq!(dispatch.limit(), 8);
}

/// Guards against requests that are lost, or started twice, when the limits change.
#[test]
fn policy_changes_apply_at_once() {
    let ranks = [
        ("lookup", rank_policy(1, 0, 100, 100)),
        ("download", rank_policy(9, 0, 100, 100)),
    ];
    let mut dispatch = Dispatch::new(Arc::new(policy(1, &ranks)));
    for ticket in 0..3 {
        enqueue(&mut dispatch, 0, ticket, "lookup");
        enqueue(&mut dispatch, 0, 10 + ticket, "download");
    }
    let next = Arc::new(policy(3, &ranks[..1]));
    let outputs = dispatch.handle(TimeMs(1), DispatchInput::Policy(next));
    assert_eq!(refused(&outputs, NotRunReason::UnknownRank), [10, 11, 12]);
    assert_eq!(started(&outputs), [1, 2]);
    let outputs = enqueue(&mut dispatch, 1, 20, "download");
    assert_eq!(refused(&outputs, NotRunReason::UnknownRank), [20]);
}

/// Guards against load that is counted only after long requests have ended, and against wrong
/// rates.
#[test]
fn load_counts_running_requests() {
    let ranks = [("download", rank_policy(1, 0, 100, 100))];
    let mut dispatch = Dispatch::new(Arc::new(policy(2, &ranks)));
    dispatch.take_sample(TimeMs(0));
    enqueue(&mut dispatch, 0, 0, "download");
    enqueue(&mut dispatch, 0, 1, "download");
    let sample = dispatch.take_sample(TimeMs(1_000));
    assert!((sample.load - 2_000.0).abs() < 1.0, "{sample:?}");
    finish(&mut dispatch, 1_500, 0, SlotResult::Served);
    for now in (2_000..60_000).step_by(1_000) {
        dispatch.take_sample(TimeMs(now));
    }
    let sample = dispatch.take_sample(TimeMs(60_000));
    assert!((sample.load - 1_000.0).abs() < 10.0, "{sample:?}");
    assert_eq!(sample.heavy_units.len(), 2);
    assert!(sample.heavy_units[0].1 > 990.0, "{sample:?}");
}

#[derive(Clone, Debug)]
enum Action {
    Enqueue {
        rank: bool,
        member: u8,
        timeout_ms: u64,
    },
    Finish {
        index: usize,
        result: SlotResult,
    },
    Cancel {
        ticket: u64,
    },
    Tick,
}

fn action() -> impl Strategy<Value = Action> {
    let result = prop_oneof![
        4 => Just(SlotResult::Served),
        1 => Just(SlotResult::Shed),
        1 => Just(SlotResult::Failed),
    ];
    prop_oneof![
        6 => (any::<bool>(), 0..4_u8, 0..400_u64).prop_map(|(rank, member, timeout_ms)| {
            Action::Enqueue { rank, member, timeout_ms }
        }),
        4 => (0..8_usize, result).prop_map(|(index, result)| Action::Finish { index, result }),
        1 => (0..200_u64).prop_map(|ticket| Action::Cancel { ticket }),
        1 => Just(Action::Tick),
    ]
}

/// The state of each request.
#[derive(Default)]
struct RequestStates {
    running: Vec<u64>,
    rank_of: BTreeMap<u64, bool>,
    settled: Vec<u64>,
}

impl RequestStates {
    fn apply(&mut self, outputs: &[DispatchOutput]) {
        for output in outputs {
            match output {
                DispatchOutput::Start { ticket } => self.running.push(ticket.0),
                DispatchOutput::Refuse { ticket, .. } => self.settled.push(ticket.0),
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against exceeded slots and rank limits, against requests that start late or twice,
    /// and against requests that are neither queued nor answered.
    #[test]
    fn limits_hold_over_any_schedule(actions in prop::collection::vec((0..40_u64, action()), 1..200)) {
        let names = |rank: bool| if rank { "lookup" } else { "download" };
        let ranks = [
            ("lookup", rank_policy(1, 1, 4, 6)),
            ("download", rank_policy(9, 1, 2, 4)),
        ];
        let mut dispatch = Dispatch::new(Arc::new(policy(4, &ranks)));
        let mut states = RequestStates::default();
        let mut now = 0;
        let mut deadlines = BTreeMap::new();
        let mut cancelled = 0;
        for (next, (step, action)) in (0_u64..).zip(actions) {
            now += step;
            let input = match action {
                Action::Enqueue { rank, member, timeout_ms } => {
                    let member = format!("m{member}");
                    deadlines.insert(next, now + timeout_ms);
                    states.rank_of.insert(next, rank);
                    let request = request(next, names(rank), &member, now + timeout_ms);
                    DispatchInput::Enqueue(request)
                }
                Action::Finish { index, result } if index < states.running.len() => {
                    let ticket = states.running.remove(index);
                    states.settled.push(ticket);
                    DispatchInput::Finished { ticket: Ticket(ticket), result }
                }
                Action::Cancel { ticket } => {
                    let waits = states.rank_of.contains_key(&ticket)
                        && !states.running.contains(&ticket)
                        && !states.settled.contains(&ticket);
                    if waits {
                        states.settled.push(ticket);
                        cancelled += 1;
                    }
                    DispatchInput::Cancel { ticket: Ticket(ticket) }
                }
                Action::Finish { .. } | Action::Tick => DispatchInput::Tick,
            };
            let outputs = dispatch.handle(TimeMs(now), input);
            for ticket in started(&outputs) {
                prop_assert!(deadlines[&ticket] > now, "request {ticket} started too late");
            }
            states.apply(&outputs);
            let of_rank = |wanted: bool| {
                states.running.iter().filter(|ticket| states.rank_of[*ticket] == wanted).count()
            };
            prop_assert!(states.running.len() <= 4);
            prop_assert!(of_rank(false) <= 2, "downloads exceed their maximum");
            prop_assert_eq!(dispatch.running(), states.running.len());
            let accounted = states.running.len() + states.settled.len() + dispatch.waiting();
            prop_assert_eq!(accounted, states.rank_of.len(), "cancelled {}", cancelled);
        }
    }
}
