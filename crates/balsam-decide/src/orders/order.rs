//! One order as its entry daemon knows it.

use super::{ClaimRow, OrderState, RecordedOutcome};
use balsam_types::{AttemptId, Incarnation, TimeMs};
use std::collections::VecDeque;

/// An arrival that waits for the claim.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub ticket: u64,
    pub deadline: TimeMs,
}

/// What a write is to achieve.
#[derive(Debug)]
pub(super) enum Goal {
    /// The order is claimed for the first waiting arrival.
    Claim,
    /// The outcome is recorded.
    Record(RecordedOutcome),
    /// The claim is given up.
    Release,
}

/// How far a write has come.
#[derive(Clone, Copy, Debug)]
pub(super) enum Progress {
    /// The write waits for the next transaction.
    Queued {
        /// Its place in the queue.
        place: u64,
    },
    /// The write is in the transaction in flight.
    Sent,
    /// The row must be read back before the next step.
    Doubtful,
}

/// What the daemon does with an order.
#[derive(Debug)]
pub(super) enum Stage {
    /// An arrival holds the claim and runs.
    Held,
    /// The row is to be changed.
    Writing {
        /// To what.
        goal: Goal,
        /// How far this has come.
        progress: Progress,
    },
}

/// One order.
#[derive(Debug)]
pub(super) struct Order {
    /// Names this daemon's claim in the row, in all transactions that try it.
    pub attempt: AttemptId,
    /// The version that the row had when it was last known.
    pub version: u64,
    /// Whether a transaction with this claim may still be applied to that version.
    pub may_apply_late: bool,
    /// What the daemon does with the order.
    pub stage: Stage,
    /// Arrivals that wait for the claim.
    pub waiting: VecDeque<Waiting>,
}

/// What a row that was read back means for an order.
#[derive(Debug)]
pub(super) enum Reading {
    /// The claim stands under this version.
    Claimed { version: u64 },
    /// The write was not applied and is tried again on this version.
    Retry { version: u64 },
    /// Another arrival holds or held the claim.
    Taken { outcome: Option<RecordedOutcome> },
    /// The outcome or the release is in the row, or the row is no longer this daemon's.
    Settled,
}

impl Order {
    /// Returns the row that the order's next write puts down.
    pub fn next_row(&self, by: Incarnation) -> Option<ClaimRow> {
        let Stage::Writing { goal, .. } = &self.stage else {
            return None;
        };
        let state = match goal {
            Goal::Claim => OrderState::Claimed,
            Goal::Record(outcome) => OrderState::Done(outcome.clone()),
            Goal::Release => OrderState::Released,
        };
        Some(ClaimRow {
            attempt: self.attempt,
            by,
            state,
        })
    }

    /// Returns the size of the body that the order is about to record.
    pub fn body_bytes(&self) -> usize {
        match &self.stage {
            Stage::Writing {
                goal:
                    Goal::Record(RecordedOutcome::Answered {
                        body: Some(body), ..
                    }),
                ..
            } => body.len(),
            Stage::Writing { .. } | Stage::Held => 0,
        }
    }

    /// Returns whether the order waits to be claimed, whatever the progress.
    pub const fn is_claiming(&self) -> bool {
        matches!(
            self.stage,
            Stage::Writing {
                goal: Goal::Claim,
                ..
            }
        )
    }

    /// Interprets a row that was read back.
    pub fn interpret(&self, by: Incarnation, row: Option<&(u64, ClaimRow)>) -> Reading {
        if self.is_claiming() {
            self.interpret_claim(by, row)
        } else {
            self.interpret_settlement(by, row)
        }
    }

    fn interpret_claim(&self, by: Incarnation, row: Option<&(u64, ClaimRow)>) -> Reading {
        let Some((version, row)) = row else {
            return Reading::Retry { version: 0 };
        };
        match &row.state {
            OrderState::Claimed if self.is_own(by, row) => Reading::Claimed { version: *version },
            OrderState::Claimed => Reading::Taken { outcome: None },
            OrderState::Released => Reading::Retry { version: *version },
            OrderState::Done(outcome) => Reading::Taken {
                outcome: Some(outcome.clone()),
            },
        }
    }

    fn interpret_settlement(&self, by: Incarnation, row: Option<&(u64, ClaimRow)>) -> Reading {
        let Some((version, row)) = row else {
            // The release of a claim that may still be applied to an absent row.
            return match self.version {
                0 => Reading::Retry { version: 0 },
                _ => Reading::Settled,
            };
        };
        let unchanged = *version == self.version && row.state == OrderState::Released;
        match row.state {
            OrderState::Claimed if self.is_own(by, row) => Reading::Retry { version: *version },
            OrderState::Released if unchanged && !self.is_own(by, row) => {
                Reading::Retry { version: *version }
            }
            OrderState::Claimed | OrderState::Released | OrderState::Done(_) => Reading::Settled,
        }
    }

    fn is_own(&self, by: Incarnation, row: &ClaimRow) -> bool {
        row.attempt == self.attempt && row.by == by
    }
}
