//! The scheduling of table reads and transactions, and of the orders in them.

use super::OrderKey;
use balsam_types::{AttemptId, TimeMs};
use std::collections::{BTreeMap, VecDeque};

/// The maximum wait between two reads of a table that does not answer, in milliseconds.
const READ_BACKOFF_MAX_MS: u64 = 1_000;

/// A transaction or read in flight.
#[derive(Debug)]
pub(super) struct InFlight {
    pub attempt: AttemptId,
    pub keys: Vec<OrderKey>,
}

/// The queues of orders that wait for the table.
#[derive(Debug)]
pub(super) struct Schedule {
    /// The transaction in flight.
    pub transaction: Option<InFlight>,
    /// The read in flight.
    pub read: Option<InFlight>,
    group_ms: u64,
    next_position: u64,
    /// Queued writes by their position.
    queue: BTreeMap<u64, OrderKey>,
    /// Orders whose rows must be read back.
    in_doubt: VecDeque<OrderKey>,
    next_transaction_at: TimeMs,
    next_read_at: TimeMs,
    /// The number of consecutive operations that the table did not answer.
    failures: u32,
}

impl Schedule {
    /// Creates empty queues.
    pub fn new(group_ms: u64) -> Self {
        Self {
            transaction: None,
            read: None,
            group_ms,
            next_position: 0,
            queue: BTreeMap::new(),
            in_doubt: VecDeque::new(),
            next_transaction_at: TimeMs(0),
            next_read_at: TimeMs(0),
            failures: 0,
        }
    }

    /// Changes the minimum time between the starts of two transactions.
    pub fn set_group_ms(&mut self, group_ms: u64) {
        self.group_ms = group_ms;
    }

    /// Queues a write and returns its position.
    pub fn enqueue(&mut self, key: OrderKey) -> u64 {
        let position = self.next_position;
        self.next_position += 1;
        self.queue.insert(position, key);
        position
    }

    /// Removes a queued write.
    pub fn dequeue(&mut self, position: u64) {
        self.queue.remove(&position);
    }

    /// Queues an order whose row must be read back.
    pub fn mark_in_doubt(&mut self, key: OrderKey) {
        self.in_doubt.push_back(key);
    }

    /// Returns up to `limit` queued writes in the order of their positions, if a transaction may
    /// start.
    ///
    /// If the table did not answer the last operation, the rows in doubt are read back first. Until
    /// it answers again, no further claims are sent, because their results would be unknown as
    /// well.
    pub fn ready_writes(&self, now: TimeMs, limit: usize) -> impl Iterator<Item = &OrderKey> {
        let ready = self.can_write() && now >= self.next_transaction_at;
        self.queue.values().take(if ready { limit } else { 0 })
    }

    /// Removes and returns up to `limit` orders to read back, if a read may start.
    pub fn take_in_doubt(&mut self, now: TimeMs, limit: usize) -> Vec<OrderKey> {
        if self.read.is_some() || now < self.next_read_at {
            return Vec::new();
        }
        let count = limit.min(self.in_doubt.len());
        self.in_doubt.drain(..count).collect()
    }

    /// Records that a transaction starts.
    pub fn start_transaction(&mut self, now: TimeMs, attempt: AttemptId, keys: Vec<OrderKey>) {
        self.next_transaction_at = now.after(self.group_ms);
        self.transaction = Some(InFlight { attempt, keys });
    }

    /// Ends the transaction `attempt` and returns its orders; `None` if it is not in flight.
    pub fn end_transaction(&mut self, attempt: AttemptId) -> Option<Vec<OrderKey>> {
        let ended = self.transaction.take_if(|tx| tx.attempt == attempt)?;
        Some(ended.keys)
    }

    /// Ends the read `attempt` and returns its orders; `None` if it is not in flight.
    pub fn end_read(&mut self, attempt: AttemptId) -> Option<Vec<OrderKey>> {
        let ended = self.read.take_if(|read| read.attempt == attempt)?;
        Some(ended.keys)
    }

    /// Records that the table answered.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records that the table did not answer and delays the next read with exponential backoff.
    pub fn record_failure(&mut self, now: TimeMs) {
        let backoff_ms = self.group_ms << self.failures.min(10);
        self.next_read_at = now.after(backoff_ms.min(READ_BACKOFF_MAX_MS));
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns when the next transaction or read is due.
    pub fn next_due(&self) -> Option<TimeMs> {
        let can_read = self.read.is_none() && !self.in_doubt.is_empty();
        let read = can_read.then_some(self.next_read_at);
        let write = self.can_write().then_some(self.next_transaction_at);
        read.into_iter().chain(write).min()
    }
    fn can_write(&self) -> bool {
        let read_first = self.failures > 0 && (self.read.is_some() || !self.in_doubt.is_empty());
        self.transaction.is_none() && !self.queue.is_empty() && !read_first
    }
}
