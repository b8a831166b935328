//! Requests of one service that wait for room at an upstream.

use super::{Request, RequestId};
use balsam_types::{ServiceName, TimeMs};
use std::collections::VecDeque;

/// Requests that wait for one service at most.
const WAITING_MAX: usize = 256;

/// A request that waits.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) ask: Request,
    pub(super) service: ServiceName,
    pub(super) until: TimeMs,
}

/// The waiting requests, the most urgent rank first and in the order of their arrival within it.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: VecDeque<Waiting>,
}

impl Queue {
    /// Adds a request; returns it if there is no room.
    pub(super) fn push(&mut self, waiting: Waiting) -> Result<(), Waiting> {
        if self.waiting.len() >= WAITING_MAX {
            return Err(waiting);
        }
        let rank = waiting.ask.route.rank;
        let at = self
            .waiting
            .partition_point(|other| other.ask.route.rank <= rank);
        self.waiting.insert(at, waiting);
        Ok(())
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, id: RequestId) {
        self.waiting.retain(|waiting| waiting.ask.id != id);
    }

    /// Removes and returns the request at a place.
    pub(super) fn take(&mut self, at: usize) -> Option<Waiting> {
        self.waiting.remove(at)
    }

    /// Returns the requests in order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.iter()
    }

    /// Returns the number of requests.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Removes and returns the requests that have waited too long.
    pub(super) fn expire(&mut self, now: TimeMs) -> Vec<Waiting> {
        let mut expired = Vec::new();
        let mut at = 0;
        while at < self.waiting.len() {
            if self.waiting[at].until > now {
                at += 1;
            } else if let Some(waiting) = self.waiting.remove(at) {
                expired.push(waiting);
            }
        }
        expired
    }

    /// Returns when the next request has waited too long.
    pub(super) fn next_expiry(&self) -> Option<TimeMs> {
        self.waiting.iter().map(|waiting| waiting.until).min()
    }
}
