//! Queue of requests of one service that wait for an upstream.

use super::{Request, RequestId};
use balsam_types::{ServiceName, TimeMs};
use std::collections::VecDeque;

/// Maximum length of one service's queue.
const QUEUED_MAX: usize = 256;

/// A queued request.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub(super) request: Request,
    pub(super) service: ServiceName,
    pub(super) expires_at: TimeMs,
}

/// The queued requests, ordered by the rank of their routes, lowest first, and by arrival within a
/// rank. Lower ranks are more urgent.
#[derive(Debug, Default)]
pub(super) struct Queue {
    queued: VecDeque<QueuedRequest>,
}

impl Queue {
    /// Adds a request, or returns it if the queue is full.
    pub(super) fn push(&mut self, queued: QueuedRequest) -> Result<(), QueuedRequest> {
        if self.queued.len() >= QUEUED_MAX {
            return Err(queued);
        }
        let rank = queued.request.route.rank;
        let index = self
            .queued
            .partition_point(|other| other.request.route.rank <= rank);
        self.queued.insert(index, queued);
        Ok(())
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, id: RequestId) {
        self.queued.retain(|queued| queued.request.id != id);
    }

    /// Removes the request at an index and returns it.
    pub(super) fn take(&mut self, index: usize) -> Option<QueuedRequest> {
        self.queued.remove(index)
    }

    /// Returns the requests in order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.queued.iter()
    }

    /// Returns the number of requests.
    pub(super) fn len(&self) -> usize {
        self.queued.len()
    }

    /// Removes the requests whose `expires_at` has been reached and returns them.
    pub(super) fn expire(&mut self, now: TimeMs) -> Vec<QueuedRequest> {
        let mut expired = Vec::new();
        let mut index = 0;
        while index < self.queued.len() {
            if self.queued[index].expires_at > now {
                index += 1;
            } else if let Some(queued) = self.queued.remove(index) {
                expired.push(queued);
            }
        }
        expired
    }

    /// Returns the earliest `expires_at` of the queued requests.
    pub(super) fn next_expiry(&self) -> Option<TimeMs> {
        self.queued.iter().map(|queued| queued.expires_at).min()
    }
}
