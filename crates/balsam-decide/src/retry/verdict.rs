//! The decision whether a failed attempt is retried.

use super::RetryBudget;
use super::rule::{Rule, rule_of};
use crate::entry::EntryRank;
use balsam_types::{Map, Outcome, TimeMs, new_map};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The number of attempts of one request that may reach an upstream.
const SENT_ATTEMPTS_MAX: u32 = 4;

/// The first backoff, which doubles with each attempt, in milliseconds.
const BACKOFF_MIN_MS: u64 = 10;

/// The longest backoff, in milliseconds.
///
/// It is one heartbeat interval, because a new route is known to all daemons within that time.
const BACKOFF_MAX_MS: u64 = balsam_types::timing::HEARTBEAT_INTERVAL_MS;

/// An attempt that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The rank of the request.
    pub rank: EntryRank,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The number of this attempt, starting at 1.
    pub number: u32,
    /// The number of attempts so far, including this one, that may have reached an upstream.
    pub sent: u32,
    /// When the caller stops waiting.
    pub deadline: TimeMs,
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// A retry would not change the outcome, or would add to an overload.
    Final,
    /// The request may have run and must not run twice.
    NotIdempotent,
    /// The deadline would pass before the next attempt.
    Deadline,
    /// The maximum number of attempts is reached.
    Attempts,
    /// The retry budget of the rank is exhausted.
    Budget,
}

/// What happens to a request after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryVerdict {
    /// The request is sent again at once.
    Now,
    /// The request is sent again after a wait.
    After {
        /// The wait in milliseconds.
        delay_ms: u64,
    },
    /// The outcome goes to the caller.
    GiveUp(GiveUpReason),
}

/// Decides on the retries of one daemon.
#[derive(Debug)]
pub struct Retry {
    random: StdRng,
    budgets: Map<EntryRank, RetryBudget>,
}

impl Retry {
    /// Creates a state machine without budgets; `seed` determines the jitter of the waits.
    pub fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            budgets: new_map(),
        }
    }

    /// Sets the percentage of retries of each rank and drops the budgets of all other ranks.
    pub fn set_percents(&mut self, percents: &Map<EntryRank, u64>) {
        self.budgets.retain(|rank, _| percents.contains_key(rank));
        for (rank, percent) in percents {
            let budget = self.budgets.entry(rank.clone());
            budget
                .and_modify(|budget| budget.set_percent(*percent))
                .or_insert_with(|| RetryBudget::new(*percent));
        }
    }

    /// Counts the first attempt of a request, which adds to the budget of its rank.
    pub fn first_attempt(&mut self, rank: &EntryRank) {
        if let Some(budget) = self.budgets.get_mut(rank) {
            budget.deposit();
        }
    }

    /// Returns what happens to a request after an attempt.
    ///
    /// A request that is routed again does not draw on the budget, because sending it elsewhere
    /// adds no load to any upstream.
    pub fn verdict(&mut self, now: TimeMs, attempt: &Attempt) -> RetryVerdict {
        let rule = rule_of(attempt.outcome);
        let give_up_reason = match rule {
            Rule::Final => Some(GiveUpReason::Final),
            Rule::ResendIfIdempotent if !attempt.idempotent => Some(GiveUpReason::NotIdempotent),
            Rule::Resend | Rule::ResendIfIdempotent if attempt.sent >= SENT_ATTEMPTS_MAX => {
                Some(GiveUpReason::Attempts)
            }
            Rule::Reroute | Rule::Resend | Rule::ResendIfIdempotent => None,
        };
        if let Some(reason) = give_up_reason {
            return RetryVerdict::GiveUp(reason);
        }
        let delay_ms = self.delay_ms(attempt);
        if now.after(delay_ms) >= attempt.deadline {
            return RetryVerdict::GiveUp(GiveUpReason::Deadline);
        }
        if rule != Rule::Reroute && !self.withdraw(&attempt.rank) {
            return RetryVerdict::GiveUp(GiveUpReason::Budget);
        }
        match delay_ms {
            0 => RetryVerdict::Now,
            delay_ms => RetryVerdict::After { delay_ms },
        }
    }

    fn withdraw(&mut self, rank: &EntryRank) -> bool {
        self.budgets
            .get_mut(rank)
            .is_some_and(RetryBudget::withdraw)
    }

    /// Returns the wait before the next attempt, between half and all of the backoff.
    ///
    /// The first retry is sent at once if another upstream or dispatcher may already be known.
    fn delay_ms(&mut self, attempt: &Attempt) -> u64 {
        if attempt.number <= 1 && may_change_target(attempt.outcome) {
            return 0;
        }
        let doublings = attempt.number.saturating_sub(1).min(16);
        let backoff_ms = (BACKOFF_MIN_MS << doublings).min(BACKOFF_MAX_MS);
        self.random.random_range(backoff_ms / 2..=backoff_ms)
    }
}

/// Returns whether the next attempt can go to another upstream or dispatcher than the failed one.
const fn may_change_target(outcome: Outcome) -> bool {
    use balsam_types::NotRunReason::{Draining, Fenced, NotDispatcher, Stopping};
    matches!(
        outcome,
        Outcome::NotRun(Fenced | NotDispatcher | Draining | Stopping) | Outcome::Unknown(_)
    )
}
