//! The state of one order at the daemon that received it.

use super::{ClaimRow, OrderState, RecordedOutcome};
use balsam_types::{AttemptId, Incarnation, TimeMs};
use std::collections::VecDeque;

/// An arrival that waits for the claim.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingArrival {
    pub ticket: u64,
    pub deadline: TimeMs,
}

/// The state that a write gives to the row.
#[derive(Debug)]
pub(super) enum Goal {
    /// The order is claimed for the first waiting arrival.
    Claim,
    /// The outcome is recorded.
    Record(RecordedOutcome),
    /// The claim is released.
    Release,
}

/// The progress of a write.
#[derive(Clone, Copy, Debug)]
pub(super) enum Progress {
    /// The write waits for the next transaction.
    Queued {
        /// Its position in the queue.
        position: u64,
    },
    /// The write is part of the transaction in flight.
    Sent,
    /// The result of the write is unknown, so the row must be read back before the next step.
    InDoubt,
}

/// The stage of an order.
#[derive(Debug)]
pub(super) enum Stage {
    /// An arrival holds the claim and is running.
    Held,
    /// The row is being changed.
    Writing {
        /// The new state of the row.
        goal: Goal,
        /// The progress of the write.
        progress: Progress,
    },
}

/// The state of one order.
#[derive(Debug)]
pub(super) struct Order {
    /// Identifies this daemon's claim in the row; the same in all transactions that try it.
    pub attempt: AttemptId,
    /// The last known version of the row.
    pub version: u64,
    /// Whether a transaction with this claim may still be applied to that version.
    pub may_apply_late: bool,
    /// The stage of the order.
    pub stage: Stage,
    /// Arrivals that wait for the claim.
    pub waiting: VecDeque<WaitingArrival>,
}

/// The meaning of a row that was read back, for an order.
#[derive(Debug)]
pub(super) enum Reading {
    /// This daemon's claim was applied, and the row has this version.
    Claimed { version: u64 },
    /// The write was not applied and is tried again on this version.
    Retry { version: u64 },
    /// Another arrival holds or held the claim.
    Taken { outcome: Option<RecordedOutcome> },
    /// The row holds the outcome or the release, or it no longer belongs to this daemon's claim.
    Settled,
}

impl Order {
    /// Returns the row that the order's next write produces.
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

    /// Returns whether the order is waiting for its claim, regardless of the progress.
    pub const fn is_claiming(&self) -> bool {
        matches!(
            self.stage,
            Stage::Writing {
                goal: Goal::Claim,
                ..
            }
        )
    }

    /// Determines what a row that was read back means for the order.
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
            // At version 0, this is the release of a claim that may still be applied to the absent
            // row, so the release is written again.
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
