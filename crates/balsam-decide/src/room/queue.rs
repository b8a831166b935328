//! Requests that wait at a keeper, and their order.

use super::{PermitId, PermitScope};
use balsam_types::{TimeMs, UpstreamName};
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Upper limit on the requests that wait in one group.
const WAITING_MAX: usize = 512;

/// Part of the usual response time that must be left for a request to be worth sending, in percent.
/// Half of all requests take less than the usual time.
const WORTH_SENDING_PERCENT: u64 = 60;

/// A request for a permit, and the daemon that asks.
pub(super) type AskKey = (SocketAddr, PermitId);

/// A request that waits.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) key: AskKey,
    pub(super) scope: PermitScope,
    pub(super) rank: u32,
    pub(super) objective_at: TimeMs,
    pub(super) deadline: TimeMs,
    pub(super) usual_ms: u32,
}

/// The place of a request in the queue; lower ones are served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    /// The rank, one lower in urgency if the objective can no longer be met.
    rank: u32,
    is_late: bool,
    deadline: TimeMs,
}

impl Waiting {
    /// Returns the place of the request at a time.
    ///
    /// An answer after the objective is worth little to the caller. A request that can only be late
    /// gives way to those in time, so that an overload does not make all of them late.
    pub(super) fn place(&self, now: TimeMs) -> Place {
        let is_late = self.is_late(now);
        Place {
            rank: self.rank.saturating_add(u32::from(is_late)),
            is_late,
            deadline: self.deadline,
        }
    }

    /// Returns whether the request may run on an upstream.
    pub(super) fn accepts(&self, upstream: &UpstreamName) -> bool {
        match &self.scope {
            PermitScope::Owner(owner) => owner == upstream,
            PermitScope::Any { avoid } => !avoid.contains(upstream),
        }
    }

    /// Returns when too little time is left to run the request.
    pub(super) fn expires_at(&self) -> TimeMs {
        let needed_ms = u64::from(self.usual_ms) * WORTH_SENDING_PERCENT / 100;
        self.deadline.before(needed_ms)
    }

    /// Returns whether the objective of the request can no longer be met.
    pub(super) fn is_late(&self, now: TimeMs) -> bool {
        now.after(u64::from(self.usual_ms)) > self.objective_at
    }
}

/// The requests that wait in one group.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: Vec<Waiting>,
}

impl Queue {
    /// Adds a request. Returns whether there was space for it.
    pub(super) fn push(&mut self, waiting: Waiting) -> bool {
        let has_space = self.waiting.len() < WAITING_MAX;
        if has_space {
            self.waiting.push(waiting);
        }
        has_space
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, key: &AskKey) -> Option<Waiting> {
        let index = self.waiting.iter().position(|found| found.key == *key)?;
        Some(self.waiting.swap_remove(index))
    }

    /// Returns the requests in no particular order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.iter()
    }

    /// Returns the requests, most urgent first.
    pub(super) fn in_order(&self, now: TimeMs) -> Vec<Waiting> {
        let mut ordered = self.waiting.clone();
        ordered.sort_by_key(|waiting| (waiting.place(now), Reverse(waiting.objective_at)));
        ordered
    }

    /// Removes the requests that have too little time left, or that are `hopeless`, and returns them.
    pub(super) fn expire(
        &mut self,
        now: TimeMs,
        is_hopeless: impl Fn(&Waiting) -> bool,
    ) -> Vec<Waiting> {
        let (expired, kept) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| waiting.expires_at() <= now || is_hopeless(waiting));
        self.waiting = kept;
        expired
    }

    /// Removes the requests that do not name their upstream and returns them.
    pub(super) fn drain_unnamed(&mut self) -> Vec<Waiting> {
        let (unnamed, kept) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| matches!(waiting.scope, PermitScope::Any { .. }));
        self.waiting = kept;
        unnamed
    }

    /// Removes all requests and returns them.
    pub(super) fn drain(&mut self) -> Vec<Waiting> {
        std::mem::take(&mut self.waiting)
    }

    /// Returns whether no request waits.
    pub(super) const fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
