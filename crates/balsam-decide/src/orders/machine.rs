//! The state machine of orders.

use super::order::{Goal, Order, Progress, Stage, WaitingArrival};
use super::schedule::{InFlight, Schedule};
use super::{OrderInput, OrderKey, OrderOutput, ReadRow, RecordedOutcome, RowWrite, TxResult};
use balsam_types::{AttemptId, Incarnation, Map, TimeMs, new_map};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The maximum size of a recorded answer body, in bytes; repeats of the order get larger answers
/// without their body.
const RECORDED_BODY_MAX_BYTES: usize = 64 << 10;

/// The maximum total size of answer bodies that wait to be recorded, in bytes; further outcomes are
/// recorded without a body.
const PENDING_BODIES_MAX_BYTES: usize = 8 << 20;

/// The maximum number of orders, and of waiting arrivals, that one daemon keeps, so that a table
/// outage cannot exhaust its memory.
const ORDERS_MAX: usize = 16_384;

/// The maximum number of rows of one transaction or read.
const BATCH_ROWS_MAX: usize = 256;

/// The maximum total size of the bodies in one transaction, in bytes, so that a few large answers
/// do not delay claims.
const TRANSACTION_MAX_BYTES: usize = 1 << 20;

/// Claims orders, records their outcomes and releases claims, in batched transactions.
#[derive(Debug)]
pub struct Orders {
    pub(super) me: Incarnation,
    pub(super) random: StdRng,
    pub(super) entries: BTreeMap<OrderKey, Order>,
    /// The order that each running arrival has claimed, by ticket.
    pub(super) held: Map<u64, OrderKey>,
    /// Waiting arrivals by deadline.
    pub(super) deadlines: BTreeSet<(TimeMs, u64, OrderKey)>,
    pub(super) schedule: Schedule,
    pub(super) pending_body_bytes: usize,
}

impl Orders {
    /// Creates the state machine of the daemon `me`, which starts transactions at least `group_ms`
    /// apart.
    pub fn new(me: Incarnation, seed: u64, group_ms: u64) -> Self {
        Self {
            me,
            random: StdRng::seed_from_u64(seed ^ me.0),
            entries: BTreeMap::new(),
            held: new_map(),
            deadlines: BTreeSet::new(),
            schedule: Schedule::new(group_ms),
            pending_body_bytes: 0,
        }
    }

    /// Changes the minimum time between the starts of two transactions.
    pub fn set_group_ms(&mut self, group_ms: u64) {
        self.schedule.set_group_ms(group_ms);
    }

    /// Handles one input and returns the resulting outputs in order.
    pub fn handle(&mut self, now: TimeMs, input: OrderInput) -> Vec<OrderOutput> {
        let mut outputs = Vec::new();
        // Deadlines are handled first: an arrival must not run after its caller was told that it
        // will not.
        self.expire_arrivals(now, &mut outputs);
        match input {
            OrderInput::Claim {
                ticket,
                key,
                deadline,
            } => self.claim_requested(now, key, WaitingArrival { ticket, deadline }, &mut outputs),
            OrderInput::Finished { ticket, outcome } => self.record(ticket, outcome),
            OrderInput::NotRun { ticket } => self.release(ticket),
            OrderInput::TxDone { attempt, result } => {
                self.end_transaction(now, attempt, result, &mut outputs);
            }
            OrderInput::ReadDone { attempt, rows } => {
                self.end_read(now, attempt, rows, &mut outputs);
            }
            OrderInput::Tick => {}
        }
        self.start_read(now, &mut outputs);
        self.start_transaction(now, &mut outputs);
        outputs
    }

    /// Returns when `Tick` is due, unless another input comes first.
    pub fn next_wake(&self, now: TimeMs) -> Option<TimeMs> {
        let deadline = self.deadlines.first().map(|(deadline, ..)| *deadline);
        let due = self.schedule.next_due().into_iter().chain(deadline).min();
        due.map(|at| at.max(now.after(1)))
    }

    /// Returns the number of orders that are kept in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no order is kept, so that the daemon can stop.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn claim_requested(
        &mut self,
        now: TimeMs,
        key: OrderKey,
        waiting: WaitingArrival,
        outputs: &mut Vec<OrderOutput>,
    ) {
        let ticket = waiting.ticket;
        let full = self.entries.len() >= ORDERS_MAX || self.deadlines.len() >= ORDERS_MAX;
        if waiting.deadline <= now || full {
            outputs.push(OrderOutput::Unavailable { ticket });
            return;
        }
        match self.entries.get_mut(&key).map(|order| &order.stage) {
            Some(Stage::Held) => {
                let outcome = None;
                outputs.push(OrderOutput::AlreadyClaimed { ticket, outcome });
                return;
            }
            Some(Stage::Writing {
                goal: Goal::Record(outcome),
                ..
            }) => {
                let outcome = Some(outcome.clone());
                outputs.push(OrderOutput::AlreadyClaimed { ticket, outcome });
                return;
            }
            Some(Stage::Writing { .. }) => {}
            None => self.insert_claim(key.clone()),
        }
        if let Some(order) = self.entries.get_mut(&key) {
            order.waiting.push_back(waiting);
            self.deadlines.insert((waiting.deadline, ticket, key));
        }
    }

    fn insert_claim(&mut self, key: OrderKey) {
        let order = Order {
            attempt: self.random_attempt_id(),
            version: 0,
            may_apply_late: false,
            stage: Stage::Writing {
                goal: Goal::Claim,
                progress: Progress::Queued {
                    position: self.schedule.enqueue(key.clone()),
                },
            },
            waiting: VecDeque::new(),
        };
        self.entries.insert(key, order);
    }

    fn record(&mut self, ticket: u64, outcome: RecordedOutcome) {
        let Some(key) = self.held.remove(&ticket) else {
            return;
        };
        let outcome = self.limit_body(outcome);
        self.write(&key, Goal::Record(outcome));
    }

    fn release(&mut self, ticket: u64) {
        if let Some(key) = self.held.remove(&ticket) {
            self.write(&key, Goal::Release);
        }
    }

    /// Drops the body of an outcome if it exceeds the size limits.
    fn limit_body(&self, outcome: RecordedOutcome) -> RecordedOutcome {
        let RecordedOutcome::Answered { head, body } = outcome else {
            return outcome;
        };
        let available_bytes = PENDING_BODIES_MAX_BYTES.saturating_sub(self.pending_body_bytes);
        let max_bytes = available_bytes.min(RECORDED_BODY_MAX_BYTES);
        let body = body.filter(|body| body.len() <= max_bytes);
        RecordedOutcome::Answered { head, body }
    }

    fn expire_arrivals(&mut self, now: TimeMs, outputs: &mut Vec<OrderOutput>) {
        while self.deadlines.first().is_some_and(|first| first.0 <= now) {
            let Some((_, ticket, key)) = self.deadlines.pop_first() else {
                return;
            };
            outputs.push(OrderOutput::Unavailable { ticket });
            if let Some(order) = self.entries.get_mut(&key) {
                order.waiting.retain(|waiting| waiting.ticket != ticket);
                self.abandon_unwanted(&key);
            }
        }
    }

    fn end_transaction(
        &mut self,
        now: TimeMs,
        attempt: AttemptId,
        result: TxResult,
        outputs: &mut Vec<OrderOutput>,
    ) {
        let Some(keys) = self.schedule.end_transaction(attempt) else {
            return;
        };
        match result {
            TxResult::Committed => {
                self.schedule.record_success();
                for key in &keys {
                    self.committed(key, outputs);
                }
            }
            TxResult::Conflicts(conflicts) => {
                self.schedule.record_success();
                let conflicts: BTreeSet<OrderKey> = conflicts.into_iter().collect();
                let names_own_row = keys.iter().any(|key| conflicts.contains(key));
                for key in &keys {
                    // If the conflicts name no row of the transaction, all of its rows are in
                    // doubt.
                    if !names_own_row || conflicts.contains(key) {
                        self.mark_in_doubt(key, false);
                    } else {
                        self.rewrite(key);
                        self.abandon_unwanted(key);
                    }
                }
            }
            TxResult::Unsettled => {
                self.schedule.record_failure(now);
                for key in &keys {
                    self.mark_in_doubt(key, true);
                }
            }
        }
    }

    fn end_read(
        &mut self,
        now: TimeMs,
        attempt: AttemptId,
        rows: Option<Vec<ReadRow>>,
        outputs: &mut Vec<OrderOutput>,
    ) {
        let Some(keys) = self.schedule.end_read(attempt) else {
            return;
        };
        let Some(rows) = rows else {
            self.schedule.record_failure(now);
            for key in keys {
                self.schedule.mark_in_doubt(key);
            }
            return;
        };
        self.schedule.record_success();
        let mut rows: BTreeMap<OrderKey, _> =
            rows.into_iter().map(|read| (read.key, read.row)).collect();
        for key in keys {
            match rows.remove(&key) {
                Some(row) => self.read_back(&key, row.as_ref(), outputs),
                None => self.schedule.mark_in_doubt(key),
            }
        }
    }

    fn start_read(&mut self, now: TimeMs, outputs: &mut Vec<OrderOutput>) {
        let keys = self.schedule.take_in_doubt(now, BATCH_ROWS_MAX);
        if keys.is_empty() {
            return;
        }
        let attempt = self.random_attempt_id();
        self.schedule.read = Some(InFlight {
            attempt,
            keys: keys.clone(),
        });
        outputs.push(OrderOutput::Read { attempt, keys });
    }

    fn start_transaction(&mut self, now: TimeMs, outputs: &mut Vec<OrderOutput>) {
        let mut writes: Vec<RowWrite> = Vec::new();
        let mut positions = Vec::new();
        let mut body_bytes = 0;
        for key in self.schedule.ready_writes(now, BATCH_ROWS_MAX) {
            let Some(order) = self.entries.get_mut(key) else {
                continue;
            };
            body_bytes += order.body_bytes();
            if body_bytes > TRANSACTION_MAX_BYTES {
                break;
            }
            let Some(row) = order.next_row(self.me) else {
                continue;
            };
            if let Stage::Writing { progress, .. } = &mut order.stage {
                if let Progress::Queued { position } = progress {
                    positions.push(*position);
                }
                *progress = Progress::Sent;
            }
            writes.push(RowWrite {
                key: key.clone(),
                version: order.version,
                row,
            });
        }
        if writes.is_empty() {
            return;
        }
        for position in positions {
            self.schedule.dequeue(position);
        }
        let attempt = self.random_attempt_id();
        let keys = writes.iter().map(|write| write.key.clone()).collect();
        self.schedule.start_transaction(now, attempt, keys);
        outputs.push(OrderOutput::Transact { attempt, writes });
    }

    pub(super) fn random_attempt_id(&mut self) -> AttemptId {
        AttemptId(self.random.random())
    }
}
