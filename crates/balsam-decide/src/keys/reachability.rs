//! Tracks which upstreams respond to orders.

use super::OrderResult;
use balsam_types::{Map, Owner, TimeMs, new_map};

/// Consecutive orders without a response after which an upstream gets no new keys.
const FAILURES_MAX: u32 = 2;

/// How long an upstream that did not respond gets no new keys, in milliseconds. A restarted
/// upstream starts without failures.
const AVOID_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: u32,
    avoid_until: TimeMs,
}

/// Failed orders by upstream instance.
#[derive(Debug)]
pub(super) struct Reachability {
    records: Map<Owner, Record>,
}

impl Reachability {
    /// Creates a tracker without failures.
    pub(super) fn new() -> Self {
        Self { records: new_map() }
    }

    /// Records the result of an order.
    pub(super) fn record_result(&mut self, now: TimeMs, owner: &Owner, result: &OrderResult) {
        match result {
            OrderResult::NotSent => {}
            OrderResult::NoAnswer | OrderResult::Unreached => {
                let record = self.records.entry(owner.clone()).or_default();
                record.failures += 1;
                if record.failures >= FAILURES_MAX {
                    record.avoid_until = now.after(AVOID_MS);
                }
            }
            OrderResult::Ended { .. } => {
                let record = self.records.entry(owner.clone()).or_default();
                record.avoid_until = now.after(AVOID_MS);
            }
            OrderResult::Granted
            | OrderResult::Released { .. }
            | OrderResult::Fenced
            | OrderResult::Refused { .. } => {
                self.records.remove(owner);
            }
        }
    }

    /// Returns whether an upstream may be assigned new keys.
    pub(super) fn is_eligible(&self, now: TimeMs, owner: &Owner) -> bool {
        self.records
            .get(owner)
            .is_none_or(|record| record.avoid_until <= now)
    }

    /// Drops the records of upstreams that have been eligible again for a while.
    pub(super) fn prune(&mut self, now: TimeMs) {
        self.records
            .retain(|_, record| now.since(record.avoid_until) < 10 * AVOID_MS);
    }
}
