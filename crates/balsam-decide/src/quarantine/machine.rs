//! The quarantine state machine.

use super::tally::Tally;
use super::{CrashCount, QuarantineInput, QuarantineOutput, QuarantinePolicy};
use balsam_types::control::QuarantineEntry;
use balsam_types::{Fingerprint, Incarnation, Map, ServiceName, TimeMs, new_map};
use std::collections::{BTreeMap, BTreeSet};

/// The number of fingerprints that one daemon counts.
///
/// A further one evicts the fingerprint whose counts have been unchanged for the longest time.
const FINGERPRINTS_MAX: usize = 1_024;

/// The time after which the end of an entry is reported again, in milliseconds.
///
/// A report is lost if the placer fails.
const CLEAR_RETRY_MS: u64 = 60_000;

/// An entry of the control state that this daemon has adopted.
#[derive(Debug)]
struct Adopted {
    entry: QuarantineEntry,
    expires_at: TimeMs,
    /// When the end of the entry is reported next.
    report_at: TimeMs,
}

/// Counts crashes by fingerprint and decides which requests are refused.
#[derive(Debug)]
pub struct Quarantine {
    me: Incarnation,
    policies: BTreeMap<ServiceName, QuarantinePolicy>,
    tallies: Map<Fingerprint, Tally>,
    adopted: BTreeMap<Fingerprint, Adopted>,
}

impl Quarantine {
    /// Creates the state machine of the daemon `me` without counts.
    pub fn new(me: Incarnation) -> Self {
        Self {
            me,
            policies: BTreeMap::new(),
            tallies: new_map(),
            adopted: BTreeMap::new(),
        }
    }

    /// Handles one input and returns the resulting outputs.
    pub fn handle(&mut self, now: TimeMs, input: QuarantineInput) -> Vec<QuarantineOutput> {
        let mut outputs = self.expire(now);
        match input {
            QuarantineInput::Crashed {
                service,
                fingerprint,
                sent_at,
            } => {
                if self.count(now, service, fingerprint, sent_at) {
                    outputs.push(QuarantineOutput::ShareCounts);
                    outputs.extend(self.entry_due(now, fingerprint));
                }
            }
            QuarantineInput::Row(counts) => {
                for fingerprint in self.merge(now, counts) {
                    outputs.extend(self.entry_due(now, fingerprint));
                }
            }
            QuarantineInput::Adopted(entries) => outputs.extend(self.adopt(now, entries)),
            QuarantineInput::Policies(policies) => self.policies = policies,
            QuarantineInput::Tick => {}
        }
        outputs
    }

    /// Returns whether a request is refused.
    ///
    /// This daemon's counts apply in addition to the adopted entries, because no entry can be
    /// committed while the shared table is unavailable.
    pub fn is_refused(&self, now: TimeMs, fingerprint: Fingerprint) -> bool {
        let adopted = self.adopted.get(&fingerprint);
        adopted.is_some_and(|adopted| now < adopted.expires_at)
            || self.over_threshold(fingerprint).is_some()
    }

    /// Returns the shared row for this daemon to write, based on the last read.
    pub fn row(&self) -> Vec<CrashCount> {
        let counts = self.tallies.iter().flat_map(|(fingerprint, tally)| {
            tally.live().map(|(by, crashes)| CrashCount {
                fingerprint: *fingerprint,
                service: tally.service.clone(),
                by,
                crashes,
            })
        });
        let mut row: Vec<CrashCount> = counts.collect();
        row.sort_by_key(|count| (count.fingerprint, count.by));
        row
    }

    /// Counts a crash; returns `false` if it has the same cause as one that was counted before.
    fn count(
        &mut self,
        now: TimeMs,
        service: ServiceName,
        fingerprint: Fingerprint,
        sent_at: TimeMs,
    ) -> bool {
        self.evict_oldest(fingerprint);
        let tally = self
            .tallies
            .entry(fingerprint)
            .or_insert_with(|| Tally::new(service));
        tally.add(now, self.me, sent_at)
    }

    /// Evicts the oldest fingerprint if `fingerprint` is a new one and the limit is reached.
    fn evict_oldest(&mut self, fingerprint: Fingerprint) {
        if self.tallies.len() < FINGERPRINTS_MAX || self.tallies.contains_key(&fingerprint) {
            return;
        }
        let age =
            |(fingerprint, tally): &(&Fingerprint, &Tally)| (tally.changed_at(), **fingerprint);
        let oldest = self.tallies.iter().min_by_key(age);
        if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.tallies.remove(&oldest);
        }
    }

    /// Replaces the other daemons' counts; returns the fingerprints that they have counted.
    fn merge(&mut self, now: TimeMs, counts: Vec<CrashCount>) -> BTreeSet<Fingerprint> {
        let me = self.me;
        let remote = counts.iter().filter(|count| count.by != me);
        let in_row: BTreeSet<_> = remote.map(|count| (count.fingerprint, count.by)).collect();
        for (fingerprint, tally) in &mut self.tallies {
            tally.retain_remote(me, |by| in_row.contains(&(*fingerprint, by)));
        }
        self.tallies.retain(|_, tally| !tally.is_empty());
        for count in counts.into_iter().filter(|count| count.by != me) {
            self.evict_oldest(count.fingerprint);
            let tally = self
                .tallies
                .entry(count.fingerprint)
                .or_insert_with(|| Tally::new(count.service));
            tally.set(now, count.by, count.crashes);
        }
        in_row
            .into_iter()
            .map(|(fingerprint, _)| fingerprint)
            .collect()
    }

    /// Replaces the entries by those of a control state; the time of a new one starts now.
    ///
    /// The counts of cleared entries are removed from the shared row at once, because a daemon that
    /// reads them later would quarantine the request again.
    fn adopt(
        &mut self,
        now: TimeMs,
        entries: BTreeMap<Fingerprint, QuarantineEntry>,
    ) -> Option<QuarantineOutput> {
        let cleared: Vec<Fingerprint> = self
            .adopted
            .keys()
            .filter(|fingerprint| !entries.contains_key(fingerprint))
            .copied()
            .collect();
        let mut counts_cleared = false;
        for fingerprint in cleared {
            self.adopted.remove(&fingerprint);
            counts_cleared |= self.clear_tally(fingerprint);
        }
        for (fingerprint, entry) in entries {
            let known = self.adopted.get(&fingerprint);
            if known.is_some_and(|known| known.entry == entry) {
                continue;
            }
            let expires_at = now.after(entry.ttl_ms);
            let adopted = Adopted {
                entry,
                expires_at,
                report_at: expires_at,
            };
            self.adopted.insert(fingerprint, adopted);
        }
        counts_cleared.then_some(QuarantineOutput::ShareCounts)
    }

    /// Clears the counts of a fingerprint; returns whether it was counted.
    fn clear_tally(&mut self, fingerprint: Fingerprint) -> bool {
        let tally = self.tallies.get_mut(&fingerprint);
        tally.is_some_and(|tally| {
            tally.clear(self.me);
            true
        })
    }

    /// Reports the entries that have ended and drops the counts that have expired.
    fn expire(&mut self, now: TimeMs) -> Vec<QuarantineOutput> {
        let mut outputs = Vec::new();
        let mut ended = Vec::new();
        for (fingerprint, adopted) in &mut self.adopted {
            if now < adopted.report_at {
                continue;
            }
            if adopted.report_at == adopted.expires_at {
                ended.push(*fingerprint);
            }
            adopted.report_at = now.after(CLEAR_RETRY_MS);
            outputs.push(QuarantineOutput::Clear {
                fingerprint: *fingerprint,
            });
        }
        let mut counts_dropped = false;
        for fingerprint in ended {
            counts_dropped |= self.clear_tally(fingerprint);
        }
        for tally in self.tallies.values_mut() {
            if let Some(policy) = self.policies.get(&tally.service) {
                counts_dropped |= tally.expire(now, self.me, policy.ttl_ms);
            }
        }
        self.tallies.retain(|_, tally| !tally.is_empty());
        if counts_dropped {
            outputs.push(QuarantineOutput::ShareCounts);
        }
        outputs
    }

    /// Returns the counts and the policy of a fingerprint that has reached its service's threshold.
    fn over_threshold(&self, fingerprint: Fingerprint) -> Option<(&Tally, QuarantinePolicy)> {
        let tally = self.tallies.get(&fingerprint)?;
        let policy = *self.policies.get(&tally.service)?;
        (tally.crashes() >= policy.crashes).then_some((tally, policy))
    }

    /// Returns the entry to commit if the threshold is reached and no entry is in force.
    fn entry_due(&self, now: TimeMs, fingerprint: Fingerprint) -> Option<QuarantineOutput> {
        let adopted = self.adopted.get(&fingerprint);
        if adopted.is_some_and(|adopted| now < adopted.expires_at) {
            return None;
        }
        let (tally, policy) = self.over_threshold(fingerprint)?;
        Some(QuarantineOutput::Commit(QuarantineEntry {
            fingerprint,
            service: tally.service.clone(),
            crashes: tally.crashes(),
            ttl_ms: policy.ttl_ms,
        }))
    }
}
