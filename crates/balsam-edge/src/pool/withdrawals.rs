//! Announcements that came after a request was assigned to an upstream and before it was sent.

use balsam_types::{Map, StartTime, UpstreamEntry, UpstreamName, new_map};
use std::time::Duration;
use tokio::time::Instant;

/// How long a withdrawal is kept. A leased request is sent much sooner, or its connection is given
/// up.
const KEPT: Duration = Duration::from_secs(10);

/// Orders leases and withdrawals by time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LeaseNumber(u64);

impl LeaseNumber {
    /// Returns the number of the next lease or withdrawal.
    pub(super) const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The newest withdrawal of each upstream.
#[derive(Clone, Debug)]
pub(super) struct Withdrawals(Map<(UpstreamName, StartTime), (LeaseNumber, Instant)>);

impl Withdrawals {
    /// Creates an empty collection.
    pub(super) fn new() -> Self {
        Self(new_map())
    }

    /// Withdraws the leases of an upstream that are older than `number`.
    pub(super) fn add(&mut self, upstream: &UpstreamEntry, number: LeaseNumber) {
        self.0.retain(|_, (_, at)| at.elapsed() <= KEPT);
        let life = (upstream.name.clone(), upstream.born);
        self.0.insert(life, (number, Instant::now()));
    }

    /// Returns whether the lease with this number was withdrawn.
    pub(super) fn is_withdrawn(&self, upstream: &UpstreamEntry, number: LeaseNumber) -> bool {
        if self.0.is_empty() {
            return false;
        }
        let newest = self.0.get(&(upstream.name.clone(), upstream.born));
        newest.is_some_and(|(newest, _)| *newest > number)
    }
}
