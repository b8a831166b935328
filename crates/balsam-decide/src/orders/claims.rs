//! The steps of one order after its row was written or read back.

use super::machine::Orders;
use super::order::{Goal, Order, Progress, Reading, Stage, WaitingArrival};
use super::{ClaimRow, OrderKey, OrderOutput, RecordedOutcome};
use std::collections::VecDeque;

impl Orders {
    /// Handles a write that was committed.
    pub(super) fn committed(&mut self, key: &OrderKey, outputs: &mut Vec<OrderOutput>) {
        let Some(order) = self.entries.get_mut(key) else {
            return;
        };
        let version = order.version + 1;
        if order.is_claiming() {
            self.grant_claim(key, version, outputs);
        } else {
            order.version = version;
            self.settle(key);
        }
    }

    /// Handles a row that was read back.
    pub(super) fn read_back(
        &mut self,
        key: &OrderKey,
        row: Option<&(u64, ClaimRow)>,
        outputs: &mut Vec<OrderOutput>,
    ) {
        let Some(order) = self.entries.get_mut(key) else {
            return;
        };
        match order.interpret(self.me, row) {
            Reading::Claimed { version } => self.grant_claim(key, version, outputs),
            Reading::Retry { version } => {
                // A transaction that is still pending was conditional on the old version, so it can
                // no longer be applied if the row has a new one.
                order.may_apply_late &= version == order.version;
                order.version = version;
                self.rewrite(key);
                self.abandon_unwanted(key);
            }
            Reading::Taken { outcome } => self.refuse_waiting(key, outcome.as_ref(), outputs),
            Reading::Settled => {
                self.settle(key);
                // Arrivals that waited for the release see the row as it is now.
                self.read_back_claim(key, row, outputs);
            }
        }
    }

    fn read_back_claim(
        &mut self,
        key: &OrderKey,
        row: Option<&(u64, ClaimRow)>,
        outputs: &mut Vec<OrderOutput>,
    ) {
        let Some(order) = self.entries.get_mut(key) else {
            return;
        };
        match order.interpret(self.me, row) {
            Reading::Retry { version } => order.version = version,
            Reading::Taken { outcome } => self.refuse_waiting(key, outcome.as_ref(), outputs),
            Reading::Claimed { .. } | Reading::Settled => {}
        }
    }

    /// Gives the claim to the first arrival that still waits, or releases it if there is none.
    fn grant_claim(&mut self, key: &OrderKey, version: u64, outputs: &mut Vec<OrderOutput>) {
        let Some(order) = self.entries.get_mut(key) else {
            return;
        };
        order.version = version;
        order.may_apply_late = false;
        let Some(first) = order.waiting.pop_front() else {
            self.write(key, Goal::Release);
            return;
        };
        let ticket = first.ticket;
        order.stage = Stage::Held;
        let others = std::mem::take(&mut order.waiting);
        self.held.insert(ticket, key.clone());
        self.deadlines
            .remove(&(first.deadline, ticket, key.clone()));
        outputs.push(OrderOutput::Claimed { ticket });
        self.refuse(key, others, None, outputs);
    }

    /// Ends the work on a settled order; if arrivals waited for its release, a new claim is queued.
    fn settle(&mut self, key: &OrderKey) {
        let attempt = self.random_attempt_id();
        let Some(order) = self.entries.get_mut(key) else {
            return;
        };
        self.pending_body_bytes -= order.body_bytes();
        if order.waiting.is_empty() {
            self.entries.remove(key);
            return;
        }
        order.attempt = attempt;
        order.may_apply_late = false;
        let position = self.schedule.enqueue(key.clone());
        order.stage = Stage::Writing {
            goal: Goal::Claim,
            progress: Progress::Queued { position },
        };
    }

    fn refuse_waiting(
        &mut self,
        key: &OrderKey,
        outcome: Option<&RecordedOutcome>,
        outputs: &mut Vec<OrderOutput>,
    ) {
        let Some(order) = self.entries.remove(key) else {
            return;
        };
        if let Stage::Writing {
            progress: Progress::Queued { position },
            ..
        } = order.stage
        {
            self.schedule.dequeue(position);
        }
        self.refuse(key, order.waiting, outcome, outputs);
    }

    fn refuse(
        &mut self,
        key: &OrderKey,
        refused: VecDeque<WaitingArrival>,
        outcome: Option<&RecordedOutcome>,
        outputs: &mut Vec<OrderOutput>,
    ) {
        for WaitingArrival { ticket, deadline } in refused {
            self.deadlines.remove(&(deadline, ticket, key.clone()));
            outputs.push(OrderOutput::AlreadyClaimed {
                ticket,
                outcome: outcome.cloned(),
            });
        }
    }

    /// Drops a queued claim for which no arrival waits any longer.
    ///
    /// If the claim may still be applied late, it is overwritten by a release, so that the order
    /// does not stay claimed without anyone to run it.
    pub(super) fn abandon_unwanted(&mut self, key: &OrderKey) {
        let Some(order) = self.entries.get(key) else {
            return;
        };
        let Stage::Writing {
            goal: Goal::Claim,
            progress: Progress::Queued { position },
        } = order.stage
        else {
            return;
        };
        if !order.waiting.is_empty() {
            return;
        }
        self.schedule.dequeue(position);
        if order.may_apply_late {
            self.write(key, Goal::Release);
        } else {
            self.entries.remove(key);
        }
    }

    /// Queues a write of an order's row.
    pub(super) fn write(&mut self, key: &OrderKey, goal: Goal) {
        let Some(order) = self.entries.get_mut(key) else {
            return;
        };
        self.pending_body_bytes -= order.body_bytes();
        let position = self.schedule.enqueue(key.clone());
        let progress = Progress::Queued { position };
        order.stage = Stage::Writing { goal, progress };
        self.pending_body_bytes += order.body_bytes();
    }

    /// Queues the same write of an order's row again.
    pub(super) fn rewrite(&mut self, key: &OrderKey) {
        if let Some(Order {
            stage: Stage::Writing { progress, .. },
            ..
        }) = self.entries.get_mut(key)
        {
            let position = self.schedule.enqueue(key.clone());
            *progress = Progress::Queued { position };
        }
    }

    /// Records that an order's row is in doubt and must be read back.
    pub(super) fn mark_in_doubt(&mut self, key: &OrderKey, may_apply_late: bool) {
        if let Some(order) = self.entries.get_mut(key) {
            order.may_apply_late |= may_apply_late;
            if let Stage::Writing { progress, .. } = &mut order.stage {
                *progress = Progress::InDoubt;
                self.schedule.mark_in_doubt(key.clone());
            }
        }
    }
}
