//! The orders state machine.

use super::order::{Goal, Order, Progress, Stage, Waiting};
use super::schedule::{InFlight, Schedule};
use super::{OrderInput, OrderKey, OrderOutput, ReadRow, RecordedOutcome, RowWrite, TxResult};
use balsam_types::{AttemptId, Incarnation, Map, TimeMs, new_map};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The largest recorded answer body in bytes; later arrivals get larger answers without a body.
const RECORDED_BODY_MAX_BYTES: usize = 64 << 10;

/// Answer bodies that wait to be recorded, in bytes; further outcomes are recorded without body.
const PENDING_BODIES_MAX_BYTES: usize = 8 << 20;

/// Orders and waiting arrivals that one daemon keeps; a table outage must not exhaust its memory.
const ORDERS_MAX: usize = 16_384;

/// Rows of one transaction or read.
const ROWS_MAX: usize = 256;

/// Body bytes of one transaction, so that a few large answers do not delay claims.
const TRANSACTION_MAX_BYTES: usize = 1 << 20;

/// Claims orders, and records or releases them, in grouped transactions.
#[derive(Debug)]
pub struct Orders {
    pub(super) me: Incarnation,
    pub(super) random: StdRng,
    pub(super) known: BTreeMap<OrderKey, Order>,
    /// The order that each running arrival holds.
    pub(super) held: Map<u64, OrderKey>,
    /// Waiting arrivals by deadline.
    pub(super) deadlines: BTreeSet<(TimeMs, u64, OrderKey)>,
    pub(super) schedule: Schedule,
    pub(super) pending_body_bytes: usize,
}

impl Orders {
    /// Makes a machine of the daemon `me` that starts transactions at least `group_ms` apart.
    pub fn new(me: Incarnation, seed: u64, group_ms: u64) -> Self {
        Self {
            me,
            random: StdRng::seed_from_u64(seed ^ me.0),
            known: BTreeMap::new(),
            held: new_map(),
            deadlines: BTreeSet::new(),
            schedule: Schedule::new(group_ms),
            pending_body_bytes: 0,
        }
    }

    /// Changes the shortest time between two transactions.
    pub fn set_group_ms(&mut self, group_ms: u64) {
        self.schedule.set_group_ms(group_ms);
    }

    /// Takes one input and returns what follows from it.
    pub fn handle(&mut self, now: TimeMs, input: OrderInput) -> Vec<OrderOutput> {
        let mut outputs = Vec::new();
        // Deadlines come first: an arrival must not run after its caller was told that it will not.
        self.expire(now, &mut outputs);
        match input {
            OrderInput::Claim {
                ticket,
                key,
                deadline,
            } => self.arrive(now, key, Waiting { ticket, deadline }, &mut outputs),
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

    /// Returns the orders that are kept in memory.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no order is kept, so that the daemon can stop.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn arrive(
        &mut self,
        now: TimeMs,
        key: OrderKey,
        waiting: Waiting,
        outputs: &mut Vec<OrderOutput>,
    ) {
        let ticket = waiting.ticket;
        let full = self.known.len() >= ORDERS_MAX || self.deadlines.len() >= ORDERS_MAX;
        if waiting.deadline <= now || full {
            outputs.push(OrderOutput::Unavailable { ticket });
            return;
        }
        match self.known.get_mut(&key).map(|order| &order.stage) {
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
        if let Some(order) = self.known.get_mut(&key) {
            order.waiting.push_back(waiting);
            self.deadlines.insert((waiting.deadline, ticket, key));
        }
    }

    fn insert_claim(&mut self, key: OrderKey) {
        let order = Order {
            attempt: self.draw_attempt(),
            version: 0,
            may_apply_late: false,
            stage: Stage::Writing {
                goal: Goal::Claim,
                progress: Progress::Queued {
                    place: self.schedule.enqueue(key.clone()),
                },
            },
            waiting: VecDeque::new(),
        };
        self.known.insert(key, order);
    }

    fn record(&mut self, ticket: u64, outcome: RecordedOutcome) {
        let Some(key) = self.held.remove(&ticket) else {
            return;
        };
        let outcome = self.bounded(outcome);
        self.write(&key, Goal::Record(outcome));
    }

    fn release(&mut self, ticket: u64) {
        if let Some(key) = self.held.remove(&ticket) {
            self.write(&key, Goal::Release);
        }
    }

    /// Drops a body that is too large to be kept.
    fn bounded(&self, outcome: RecordedOutcome) -> RecordedOutcome {
        let RecordedOutcome::Answered { head, body } = outcome else {
            return outcome;
        };
        let room = PENDING_BODIES_MAX_BYTES.saturating_sub(self.pending_body_bytes);
        let most = room.min(RECORDED_BODY_MAX_BYTES);
        let body = body.filter(|body| body.len() <= most);
        RecordedOutcome::Answered { head, body }
    }

    fn expire(&mut self, now: TimeMs, outputs: &mut Vec<OrderOutput>) {
        while self.deadlines.first().is_some_and(|first| first.0 <= now) {
            let Some((_, ticket, key)) = self.deadlines.pop_first() else {
                return;
            };
            outputs.push(OrderOutput::Unavailable { ticket });
            if let Some(order) = self.known.get_mut(&key) {
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
                self.schedule.answered();
                for key in &keys {
                    self.committed(key, outputs);
                }
            }
            TxResult::Conflicts(conflicts) => {
                self.schedule.answered();
                let conflicts: BTreeSet<OrderKey> = conflicts.into_iter().collect();
                let named = keys.iter().any(|key| conflicts.contains(key));
                for key in &keys {
                    // Conflicts that name no row of the transaction put all of them in doubt.
                    if !named || conflicts.contains(key) {
                        self.doubt(key, false);
                    } else {
                        self.rewrite(key);
                        self.abandon_unwanted(key);
                    }
                }
            }
            TxResult::Unsettled => {
                self.schedule.unanswered(now);
                for key in &keys {
                    self.doubt(key, true);
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
            self.schedule.unanswered(now);
            for key in keys {
                self.schedule.doubt(key);
            }
            return;
        };
        self.schedule.answered();
        let mut rows: BTreeMap<OrderKey, _> =
            rows.into_iter().map(|read| (read.key, read.row)).collect();
        for key in keys {
            match rows.remove(&key) {
                Some(row) => self.read_back(&key, row.as_ref(), outputs),
                None => self.schedule.doubt(key),
            }
        }
    }

    fn start_read(&mut self, now: TimeMs, outputs: &mut Vec<OrderOutput>) {
        let keys = self.schedule.take_doubtful(now, ROWS_MAX);
        if keys.is_empty() {
            return;
        }
        let attempt = self.draw_attempt();
        self.schedule.read = Some(InFlight {
            attempt,
            keys: keys.clone(),
        });
        outputs.push(OrderOutput::Read { attempt, keys });
    }

    fn start_transaction(&mut self, now: TimeMs, outputs: &mut Vec<OrderOutput>) {
        let mut writes: Vec<RowWrite> = Vec::new();
        let mut places = Vec::new();
        let mut body_bytes = 0;
        for key in self.schedule.ready_writes(now, ROWS_MAX) {
            let Some(order) = self.known.get_mut(key) else {
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
                if let Progress::Queued { place } = progress {
                    places.push(*place);
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
        for place in places {
            self.schedule.dequeue(place);
        }
        let attempt = self.draw_attempt();
        let keys = writes.iter().map(|write| write.key.clone()).collect();
        self.schedule.start_transaction(now, attempt, keys);
        outputs.push(OrderOutput::Transact { attempt, writes });
    }

    pub(super) fn draw_attempt(&mut self) -> AttemptId {
        AttemptId(self.random.random())
    }
}
