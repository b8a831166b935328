//! When the table is read and written, and which orders take part.

use super::OrderKey;
use balsam_types::{AttemptId, TimeMs};
use std::collections::{BTreeMap, VecDeque};

/// The longest wait between two reads of a table that does not answer, in milliseconds.
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
    next_place: u64,
    queue: BTreeMap<u64, OrderKey>,
    doubtful: VecDeque<OrderKey>,
    transaction_from: TimeMs,
    read_from: TimeMs,
    /// Consecutive operations that the table did not answer.
    failures: u32,
}

impl Schedule {
    /// Makes empty queues.
    pub fn new(group_ms: u64) -> Self {
        Self {
            transaction: None,
            read: None,
            group_ms,
            next_place: 0,
            queue: BTreeMap::new(),
            doubtful: VecDeque::new(),
            transaction_from: TimeMs(0),
            read_from: TimeMs(0),
            failures: 0,
        }
    }

    /// Changes the shortest time between two transactions.
    pub fn set_group_ms(&mut self, group_ms: u64) {
        self.group_ms = group_ms;
    }

    /// Queues a write and returns its place.
    pub fn enqueue(&mut self, key: OrderKey) -> u64 {
        let place = self.next_place;
        self.next_place += 1;
        self.queue.insert(place, key);
        place
    }

    /// Removes a queued write.
    pub fn dequeue(&mut self, place: u64) {
        self.queue.remove(&place);
    }

    /// Adds an order whose row must be read back.
    pub fn doubt(&mut self, key: OrderKey) {
        self.doubtful.push_back(key);
    }

    /// Returns up to `limit` queued writes in the order of their places if a transaction may start.
    ///
    /// After a lost answer the table is read first. While it does not answer, no further claims
    /// are put at risk.
    pub fn ready_writes(&self, now: TimeMs, limit: usize) -> impl Iterator<Item = &OrderKey> {
        let ready = self.can_write() && now >= self.transaction_from;
        self.queue.values().take(if ready { limit } else { 0 })
    }

    /// Takes up to `limit` orders to read back if a read may start.
    pub fn take_doubtful(&mut self, now: TimeMs, limit: usize) -> Vec<OrderKey> {
        if self.read.is_some() || now < self.read_from {
            return Vec::new();
        }
        let count = limit.min(self.doubtful.len());
        self.doubtful.drain(..count).collect()
    }

    /// Notes that a transaction starts.
    pub fn start_transaction(&mut self, now: TimeMs, attempt: AttemptId, keys: Vec<OrderKey>) {
        self.transaction_from = now.after(self.group_ms);
        self.transaction = Some(InFlight { attempt, keys });
    }

    /// Ends the transaction `attempt` and returns its orders, unless it is not in flight.
    pub fn end_transaction(&mut self, attempt: AttemptId) -> Option<Vec<OrderKey>> {
        let ended = self.transaction.take_if(|tx| tx.attempt == attempt)?;
        Some(ended.keys)
    }

    /// Ends the read `attempt` and returns its orders, unless it is not in flight.
    pub fn end_read(&mut self, attempt: AttemptId) -> Option<Vec<OrderKey>> {
        let ended = self.read.take_if(|read| read.attempt == attempt)?;
        Some(ended.keys)
    }

    /// Notes that the table answered.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// Notes that the table did not answer.
    pub fn unanswered(&mut self, now: TimeMs) {
        let backoff_ms = self.group_ms << self.failures.min(10);
        self.read_from = now.after(backoff_ms.min(READ_BACKOFF_MAX_MS));
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns when the next transaction or read is due.
    pub fn next_due(&self) -> Option<TimeMs> {
        let can_read = self.read.is_none() && !self.doubtful.is_empty();
        let read = can_read.then_some(self.read_from);
        let write = self.can_write().then_some(self.transaction_from);
        read.into_iter().chain(write).min()
    }
    fn can_write(&self) -> bool {
        let read_first = self.failures > 0 && (self.read.is_some() || !self.doubtful.is_empty());
        self.transaction.is_none() && !self.queue.is_empty() && !read_first
    }
}
