//! Which upstreams answer orders.

use super::OrderResult;
use balsam_types::{Map, Owner, TimeMs, new_map};

/// Orders without an answer, one after the other, after which an upstream gets no keys.
const UNANSWERED_MAX: u32 = 2;

/// How long an upstream that did not answer gets no keys, in milliseconds; its next life starts
/// with a clean record.
const AVOID_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    unanswered: u32,
    avoid_until: TimeMs,
}

/// Remembers which lives of upstreams did not answer orders.
#[derive(Debug)]
pub(super) struct Reach {
    records: Map<Owner, Record>,
}

impl Reach {
    /// Makes a memory of nothing.
    pub(super) fn new() -> Self {
        Self { records: new_map() }
    }

    /// Notes how an order ended.
    pub(super) fn note(&mut self, now: TimeMs, owner: &Owner, result: &OrderResult) {
        match result {
            OrderResult::NotSent => {}
            OrderResult::NoAnswer | OrderResult::Unreached => {
                let record = self.records.entry(owner.clone()).or_default();
                record.unanswered += 1;
                if record.unanswered >= UNANSWERED_MAX {
                    record.avoid_until = now.after(AVOID_MS);
                }
            }
            OrderResult::Ended => {
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

    /// Returns whether an upstream should own keys.
    pub(super) fn is_good(&self, now: TimeMs, owner: &Owner) -> bool {
        self.records
            .get(owner)
            .is_none_or(|record| record.avoid_until <= now)
    }

    /// Forgets upstreams that have not been avoided for long.
    pub(super) fn prune(&mut self, now: TimeMs) {
        self.records
            .retain(|_, record| now.since(record.avoid_until) < 10 * AVOID_MS);
    }
}
