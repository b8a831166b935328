//! What happens to one order when its row is written or read back.

use super::machine::Orders;
use super::order::{Goal, Order, Progress, Reading, Stage, Waiting};
use super::{ClaimRow, OrderKey, OrderOutput, RecordedOutcome};
use std::collections::VecDeque;

impl Orders {
    /// Follows up on a write that was committed.
    pub(super) fn committed(&mut self, key: &OrderKey, outputs: &mut Vec<OrderOutput>) {
        let Some(order) = self.known.get_mut(key) else {
            return;
        };
        let version = order.version + 1;
        if order.is_claiming() {
            self.grant(key, version, outputs);
        } else {
            order.version = version;
            self.settle(key);
        }
    }

    /// Follows up on a row that was read back.
    pub(super) fn read_back(
        &mut self,
        key: &OrderKey,
        row: Option<&(u64, ClaimRow)>,
        outputs: &mut Vec<OrderOutput>,
    ) {
        let Some(order) = self.known.get_mut(key) else {
            return;
        };
        match order.interpret(self.me, row) {
            Reading::Claimed { version } => self.grant(key, version, outputs),
            Reading::Retry { version } => {
                // A transaction on another version can no longer be applied.
                order.may_apply_late &= version == order.version;
                order.version = version;
                self.rewrite(key);
                self.abandon_unwanted(key);
            }
            Reading::Taken { outcome } => self.refuse_waiting(key, outcome.as_ref(), outputs),
            Reading::Settled => {
                self.settle(key);
                // Arrivals that waited for the release take the row as it is now.
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
        let Some(order) = self.known.get_mut(key) else {
            return;
        };
        match order.interpret(self.me, row) {
            Reading::Retry { version } => order.version = version,
            Reading::Taken { outcome } => self.refuse_waiting(key, outcome.as_ref(), outputs),
            Reading::Claimed { .. } | Reading::Settled => {}
        }
    }

    /// Gives the claim to the first arrival that still waits, or releases it.
    fn grant(&mut self, key: &OrderKey, version: u64, outputs: &mut Vec<OrderOutput>) {
        let Some(order) = self.known.get_mut(key) else {
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

    /// Ends the work on a settled order; arrivals that waited for its release claim it anew.
    fn settle(&mut self, key: &OrderKey) {
        let attempt = self.draw_attempt();
        let Some(order) = self.known.get_mut(key) else {
            return;
        };
        self.pending_body_bytes -= order.body_bytes();
        if order.waiting.is_empty() {
            self.known.remove(key);
            return;
        }
        order.attempt = attempt;
        order.may_apply_late = false;
        let place = self.schedule.enqueue(key.clone());
        order.stage = Stage::Writing {
            goal: Goal::Claim,
            progress: Progress::Queued { place },
        };
    }

    fn refuse_waiting(
        &mut self,
        key: &OrderKey,
        outcome: Option<&RecordedOutcome>,
        outputs: &mut Vec<OrderOutput>,
    ) {
        let Some(order) = self.known.remove(key) else {
            return;
        };
        if let Stage::Writing {
            progress: Progress::Queued { place },
            ..
        } = order.stage
        {
            self.schedule.dequeue(place);
        }
        self.refuse(key, order.waiting, outcome, outputs);
    }

    fn refuse(
        &mut self,
        key: &OrderKey,
        refused: VecDeque<Waiting>,
        outcome: Option<&RecordedOutcome>,
        outputs: &mut Vec<OrderOutput>,
    ) {
        for Waiting { ticket, deadline } in refused {
            self.deadlines.remove(&(deadline, ticket, key.clone()));
            outputs.push(OrderOutput::AlreadyClaimed {
                ticket,
                outcome: outcome.cloned(),
            });
        }
    }

    /// Gives up a queued claim that no arrival waits for.
    ///
    /// A claim that may still be applied is overwritten by a release, so that the order does not
    /// stay claimed by nobody.
    pub(super) fn abandon_unwanted(&mut self, key: &OrderKey) {
        let Some(order) = self.known.get(key) else {
            return;
        };
        let Stage::Writing {
            goal: Goal::Claim,
            progress: Progress::Queued { place },
        } = order.stage
        else {
            return;
        };
        if !order.waiting.is_empty() {
            return;
        }
        self.schedule.dequeue(place);
        if order.may_apply_late {
            self.write(key, Goal::Release);
        } else {
            self.known.remove(key);
        }
    }

    /// Queues a write of an order.
    pub(super) fn write(&mut self, key: &OrderKey, goal: Goal) {
        let Some(order) = self.known.get_mut(key) else {
            return;
        };
        self.pending_body_bytes -= order.body_bytes();
        let place = self.schedule.enqueue(key.clone());
        let progress = Progress::Queued { place };
        order.stage = Stage::Writing { goal, progress };
        self.pending_body_bytes += order.body_bytes();
    }

    /// Queues the write of an order again.
    pub(super) fn rewrite(&mut self, key: &OrderKey) {
        if let Some(Order {
            stage: Stage::Writing { progress, .. },
            ..
        }) = self.known.get_mut(key)
        {
            let place = self.schedule.enqueue(key.clone());
            *progress = Progress::Queued { place };
        }
    }

    /// Notes that an order's row must be read back.
    pub(super) fn doubt(&mut self, key: &OrderKey, may_apply_late: bool) {
        if let Some(order) = self.known.get_mut(key) {
            order.may_apply_late |= may_apply_late;
            if let Stage::Writing { progress, .. } = &mut order.stage {
                *progress = Progress::Doubtful;
                self.schedule.doubt(key.clone());
            }
        }
    }
}
