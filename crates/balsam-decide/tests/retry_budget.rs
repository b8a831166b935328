//! Which requests are retried, and the limits on retries: budget, deadline and attempts.

mod support;

use balsam_decide::entry::EntryRank;
use balsam_decide::retry::{Attempt, GiveUpReason, Retry, RetryVerdict};
use balsam_types::{Map, NotRunReason, Outcome, ServiceName, TimeMs, UnknownReason};
use rstest::rstest;
use support::rank;

fn entry_rank() -> EntryRank {
    EntryRank {
        service: ServiceName::new("s").expect("service name"),
        rank: rank("lookup"),
    }
}

fn machine() -> Retry {
    let mut retry = Retry::new(7);
    retry.set_percents(&Map::from_iter([(entry_rank(), 10)]));
    retry
}

fn attempt(outcome: Outcome, idempotent: bool, number: u32) -> Attempt {
    Attempt {
        rank: entry_rank(),
        outcome,
        idempotent,
        number,
        sent: number,
        deadline: TimeMs(10_000),
    }
}

/// Guards against a retry of a request that is not idempotent, such as an order, although it may
/// have run.
#[test]
fn orders_repeat_only_if_not_run() {
    for reason in UnknownReason::ALL {
        let verdict = machine().verdict(TimeMs(0), &attempt(Outcome::Unknown(*reason), false, 1));
        assert!(matches!(verdict, RetryVerdict::GiveUp(_)), "{reason:?}");
    }
    let declared = Outcome::NotRun(NotRunReason::Fenced);
    let verdict = machine().verdict(TimeMs(0), &attempt(declared, false, 1));
    assert_eq!(verdict, RetryVerdict::Now);
}

/// Guards against retries that cannot succeed or that add to an overload.
#[rstest]
#[case(Outcome::Answered)]
#[case(Outcome::NotRun(NotRunReason::QueueFull))]
#[case(Outcome::NotRun(NotRunReason::EntryLimit))]
#[case(Outcome::NotRun(NotRunReason::Quarantined))]
#[case(Outcome::NotRun(NotRunReason::BadRequest))]
#[case(Outcome::Unknown(UnknownReason::ClaimedBefore))]
fn final_outcomes_stand(#[case] outcome: Outcome) {
    let verdict = machine().verdict(TimeMs(0), &attempt(outcome, true, 1));
    assert_eq!(verdict, RetryVerdict::GiveUp(GiveUpReason::Final));
}

/// Guards against a number of retries that is out of proportion to the requests while all attempts
/// fail.
#[test]
fn budget_bounds_retries() {
    let mut retry = machine();
    let failed = attempt(Outcome::NotRun(NotRunReason::Shed), true, 1);
    let mut retries = 0;
    for _ in 0..10_000 {
        retry.first_attempt(&failed.rank);
        let verdict = retry.verdict(TimeMs(0), &failed);
        retries += u64::from(matches!(verdict, RetryVerdict::After { .. }));
    }
    assert!(
        retries <= 1_000 + 10,
        "{retries} retries for 10,000 requests"
    );
    assert!(retries >= 990, "{retries} retries for 10,000 requests");
    assert_eq!(
        retry.verdict(TimeMs(0), &failed),
        RetryVerdict::GiveUp(GiveUpReason::Budget)
    );
}

/// Guards against retries after the caller's deadline, and against an unlimited number of retries.
#[test]
fn deadline_and_attempts_bound_retries() {
    let lost = Outcome::Unknown(UnknownReason::UpstreamLost);
    let late = machine().verdict(TimeMs(10_000), &attempt(lost, true, 1));
    assert_eq!(late, RetryVerdict::GiveUp(GiveUpReason::Deadline));
    let fourth = machine().verdict(TimeMs(0), &attempt(lost, true, 4));
    assert_eq!(fourth, RetryVerdict::GiveUp(GiveUpReason::Attempts));
}

/// Guards against retries of many requests at the same time, and against waits longer than a
/// heartbeat interval, within which a new route is known.
#[test]
fn backoff_grows_with_jitter() {
    let mut retry = machine();
    let mut delays = Vec::new();
    for number in 1..40 {
        let waiting = attempt(Outcome::NotRun(NotRunReason::NoOwner), true, number);
        match retry.verdict(TimeMs(0), &waiting) {
            RetryVerdict::After { delay_ms } => delays.push(delay_ms),
            verdict => panic!("{verdict:?}"),
        }
    }
    assert!(delays[0] <= 10, "{delays:?}");
    assert!(
        delays.iter().all(|delay| *delay >= 5 && *delay <= 250),
        "{delays:?}"
    );
    let mut late = delays.split_off(10);
    late.sort_unstable();
    late.dedup();
    assert!(late.len() > 10, "delays without jitter: {late:?}");
}

/// Guards against giving up a request whose upstream drains before its key has moved.
///
/// The dispatcher learns of the drain with its next grant, and the key moves only after that. Both
/// together take longer than a few attempts.
#[test]
fn draining_is_waited_out() {
    let mut retry = machine();
    let mut now = TimeMs(0);
    let mut number = 1;
    while now < TimeMs(2_000) {
        let refused = attempt(Outcome::NotRun(NotRunReason::Draining), false, number);
        let wait_ms = match retry.verdict(now, &refused) {
            RetryVerdict::Now => 0,
            RetryVerdict::After { delay_ms } => delay_ms,
            RetryVerdict::GiveUp(reason) => panic!("given up at {now:?}: {reason:?}"),
        };
        now = now.after(wait_ms + 1);
        number += 1;
    }
    assert!(number < 40, "{number} attempts in 2 s");
}
