//! The crash counts of one fingerprint.

use balsam_types::{Incarnation, ServiceName, TimeMs};
use std::collections::BTreeMap;

/// The crashes that one daemon observed.
#[derive(Clone, Copy, Debug)]
struct Count {
    crashes: u32,
    /// The part of `crashes` that has expired or was cleared but is still in the shared row.
    ignored: u32,
    changed_at: TimeMs,
}

impl Count {
    const fn live(self) -> u32 {
        self.crashes.saturating_sub(self.ignored)
    }
}

/// The crashes of one fingerprint, by the daemon that observed them.
#[derive(Debug)]
pub(super) struct Tally {
    /// The service that the request addresses.
    pub service: ServiceName,
    counts: BTreeMap<Incarnation, Count>,
}

impl Tally {
    /// Creates an empty tally.
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            counts: BTreeMap::new(),
        }
    }

    /// Adds a crash that this daemon observed; returns whether it counts.
    ///
    /// A request that was sent before the last counted crash was lost with the same upstream and
    /// does not count again. Without this rule the loss of one upstream would quarantine each
    /// request that ran there several times.
    pub fn add(&mut self, now: TimeMs, me: Incarnation, sent_at: TimeMs) -> bool {
        let own = self.counts.get(&me);
        if own.is_some_and(|own| sent_at < own.changed_at) {
            return false;
        }
        let crashes = own.map_or(0, |count| count.crashes);
        self.set(now, me, crashes.saturating_add(1));
        true
    }

    /// Replaces the count of a daemon.
    pub fn set(&mut self, now: TimeMs, by: Incarnation, crashes: u32) {
        let count = self.counts.entry(by).or_insert(Count {
            crashes: 0,
            ignored: 0,
            changed_at: now,
        });
        if crashes < count.crashes {
            // The daemon has dropped its earlier crashes and counts from zero again.
            count.ignored = 0;
        }
        if crashes != count.crashes {
            count.crashes = crashes;
            count.changed_at = now;
        }
    }

    /// Drops the counts of other daemons that are not in the shared row.
    pub fn retain_remote(&mut self, me: Incarnation, in_row: impl Fn(Incarnation) -> bool) {
        self.counts.retain(|by, _| *by == me || in_row(*by));
    }

    /// Ignores counts that have not changed for `ttl_ms`; returns whether this daemon's was one.
    pub fn expire(&mut self, now: TimeMs, me: Incarnation, ttl_ms: u64) -> bool {
        let has_expired = |count: &Count| now.since(count.changed_at) >= ttl_ms;
        let own_expired = self.counts.get(&me).is_some_and(has_expired);
        if own_expired {
            self.counts.remove(&me);
        }
        for count in self.counts.values_mut().filter(|count| has_expired(count)) {
            count.ignored = count.crashes;
        }
        own_expired
    }

    /// Ignores all crashes counted so far.
    pub fn clear(&mut self, me: Incarnation) {
        self.counts.remove(&me);
        for count in self.counts.values_mut() {
            count.ignored = count.crashes;
        }
    }

    /// Returns the number of crashes that are not ignored.
    pub fn crashes(&self) -> u32 {
        let live = self.counts.values().map(|count| count.live());
        live.fold(0, u32::saturating_add)
    }

    /// Returns the counts for the shared row: those with crashes that are not ignored.
    pub fn live(&self) -> impl Iterator<Item = (Incarnation, u32)> {
        let live = self.counts.iter().filter(|(_, count)| count.live() > 0);
        live.map(|(by, count)| (*by, count.crashes))
    }

    /// Returns when a count last changed.
    pub fn changed_at(&self) -> TimeMs {
        let times = self.counts.values().map(|count| count.changed_at);
        times.max().unwrap_or_default()
    }

    /// Returns whether no daemon has a count.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }
}
