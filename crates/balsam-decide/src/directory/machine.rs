//! Follows the platform's list of upstreams through its outages.

use super::{DiscoveredUpstream, DiscoveryNotice, DiscoveryOutcome, Upstreams};
use balsam_types::{
    Map, Set, StartTime, TimeMs, UpstreamEntry, UpstreamName, UpstreamRow, new_map,
};
use std::sync::Arc;

/// How long after an outage of the store entries that vanished around it are kept, in milliseconds.
///
/// Entries that lapse while the store is away are back about two seconds after its return.
pub const LAPSE_GRACE_MS: u64 = 2_100;

/// Removals that are remembered, so that an older row does not bring an upstream back.
const REMOVED_MAX: usize = 4_096;

/// What the directory is told.
#[derive(Clone, Debug)]
pub enum DirectoryInput {
    /// The whole list was read; what is not in it does not exist.
    Listed {
        /// The store's version at that moment.
        version: u64,
        /// The rows.
        rows: Vec<UpstreamRow>,
    },
    /// An entry was written.
    Changed(UpstreamRow),
    /// An entry was removed.
    Removed {
        /// The version of the removal.
        version: u64,
        /// The upstream.
        name: UpstreamName,
    },
    /// A call to the store failed, or the store has just returned.
    StoreFailed,
    /// Time has passed.
    Tick,
}

/// What is known of one upstream.
#[derive(Debug)]
struct Known {
    /// The version of the row.
    version: u64,
    believed: Arc<DiscoveredUpstream>,
}

/// An entry that has vanished and is kept, because it may come back.
#[derive(Clone, Copy, Debug)]
struct Lapsing {
    until: TimeMs,
    /// The version of the removal, or of the list that lacked the entry.
    version: u64,
}

/// The upstreams that this daemon believes to exist.
#[derive(Debug)]
pub struct Directory {
    upstreams: Map<UpstreamName, Known>,
    /// Upstreams that were removed, and the versions of that.
    removed: Map<UpstreamName, u64>,
    /// Vanished entries that are kept.
    lapsing: Map<UpstreamName, Lapsing>,
    /// When a call to the store failed last.
    failed_at: Option<TimeMs>,
    /// What was done with rows since they were last asked for.
    notes: Vec<DiscoveryNotice>,
}

impl Default for Directory {
    fn default() -> Self {
        Self::new()
    }
}

impl Directory {
    /// Makes a directory that knows no upstream.
    pub fn new() -> Self {
        Self {
            upstreams: new_map(),
            removed: new_map(),
            lapsing: new_map(),
            failed_at: None,
            notes: Vec::new(),
        }
    }

    /// Returns what was done with the rows of the inputs since the last call.
    pub fn take_notices(&mut self) -> Vec<DiscoveryNotice> {
        std::mem::take(&mut self.notes)
    }

    /// Takes one input; returns the new list if it changed.
    pub fn handle(&mut self, now: TimeMs, input: DirectoryInput) -> Option<Upstreams> {
        let changed = match input {
            DirectoryInput::Listed { version, rows } => self.replace(now, version, rows),
            DirectoryInput::Changed(row) => self.put(now, row),
            DirectoryInput::Removed { version, name } => self.remove(now, version, &name),
            DirectoryInput::StoreFailed => {
                self.failed_at = Some(now);
                false
            }
            DirectoryInput::Tick => false,
        };
        let expired = self.expire(now);
        let believed = self.upstreams.values();
        let believed = believed.map(|known| Arc::clone(&known.believed));
        (changed || expired).then(|| Upstreams::new(believed))
    }

    /// Returns until when an entry that vanishes now may be back, if it may.
    fn kept_until(&self, now: TimeMs) -> Option<TimeMs> {
        let until = self.failed_at?.after(LAPSE_GRACE_MS);
        (now < until).then_some(until)
    }

    /// Returns the rows that the store lists; those that are kept although they vanished are left
    /// out, because nobody else would learn of their end.
    pub fn listed(&self) -> Vec<UpstreamRow> {
        let kept = self.upstreams.iter();
        let listed = kept.filter(|(name, _)| !self.lapsing.contains_key(*name));
        let row = |known: &Known| UpstreamRow {
            version: known.version,
            entry: known.believed.entry.clone(),
        };
        listed.map(|(_, known)| row(known)).collect()
    }

    /// Returns when the next entry lapses.
    pub fn next_lapse(&self) -> Option<TimeMs> {
        self.lapsing.values().map(|lapsing| lapsing.until).min()
    }

    fn replace(&mut self, now: TimeMs, version: u64, rows: Vec<UpstreamRow>) -> bool {
        let mut changed = false;
        let listed: Set<UpstreamName> = rows.iter().map(|row| row.entry.name.clone()).collect();
        let known: Vec<UpstreamName> = self.upstreams.keys().cloned().collect();
        for name in known.iter().filter(|name| !listed.contains(*name)) {
            changed |= self.remove(now, version, name);
        }
        for row in rows {
            changed |= self.put(now, row);
        }
        changed
    }

    fn put(&mut self, now: TimeMs, row: UpstreamRow) -> bool {
        let UpstreamRow { version, entry } = row;
        if self.is_older(&entry, version) {
            self.note(&entry.name, entry.born, version, DiscoveryOutcome::Older);
            return false;
        }
        self.lapsing.remove(&entry.name);
        self.removed.remove(&entry.name);
        if let Some(known) = self.upstreams.get_mut(&entry.name)
            && known.believed.entry == entry
        {
            known.version = version;
            return false;
        }
        let outcome = if entry.is_ready() {
            DiscoveryOutcome::Ready
        } else {
            DiscoveryOutcome::Draining
        };
        self.note(&entry.name, entry.born, version, outcome);
        let warmup_ends_at = now.after(entry.warmup_left_ms);
        let name = entry.name.clone();
        let believed = Arc::new(DiscoveredUpstream {
            entry,
            warmup_ends_at,
        });
        self.upstreams.insert(name, Known { version, believed });
        true
    }

    /// Returns whether something newer than a row is known of its upstream.
    ///
    /// Answers of the store, changes that the leader passes on and its snapshots overtake each
    /// other. A late writer of a former life is not told apart by the version of its row.
    fn is_older(&self, entry: &UpstreamEntry, version: u64) -> bool {
        let is_removed = |removed: &u64| *removed > version;
        let known = self.upstreams.get(&entry.name);
        known.is_some_and(|known| known.version > version || known.believed.entry.born > entry.born)
            || self.removed.get(&entry.name).is_some_and(is_removed)
    }

    fn remove(&mut self, now: TimeMs, version: u64, name: &UpstreamName) -> bool {
        let known = self.upstreams.get(name);
        let Some(known) = known.filter(|known| known.version <= version) else {
            return false;
        };
        let entry = &known.believed.entry;
        let born = entry.born;
        // An upstream that announced its leaving is not coming back.
        let may_return = entry.is_ready();
        if let Some(until) = self.kept_until(now).filter(|_| may_return) {
            if !self.lapsing.contains_key(name) {
                let lapsing = Lapsing { until, version };
                self.lapsing.insert(name.clone(), lapsing);
                self.note(name, born, version, DiscoveryOutcome::Kept { until });
            }
            return false;
        }
        self.lapsing.remove(name);
        self.upstreams.remove(name);
        self.remember_removal(name.clone(), version);
        self.note(name, born, version, DiscoveryOutcome::Removed);
        true
    }

    fn remember_removal(&mut self, name: UpstreamName, version: u64) {
        self.removed.insert(name, version);
        if self.removed.len() > REMOVED_MAX
            && let Some(oldest) = self.removed.values().min().copied()
        {
            self.removed.retain(|_, version| *version > oldest);
        }
    }

    fn expire(&mut self, now: TimeMs) -> bool {
        let due = self.lapsing.extract_if(|_, lapsing| lapsing.until <= now);
        let due: Vec<(UpstreamName, Lapsing)> = due.collect();
        for (name, Lapsing { version, .. }) in &due {
            if let Some(known) = self.upstreams.remove(name) {
                let born = known.believed.entry.born;
                self.note(name, born, *version, DiscoveryOutcome::Lapsed);
                self.remember_removal(name.clone(), *version);
            }
        }
        !due.is_empty()
    }

    fn note(
        &mut self,
        name: &UpstreamName,
        born: StartTime,
        version: u64,
        outcome: DiscoveryOutcome,
    ) {
        self.notes.push(DiscoveryNotice {
            upstream: name.clone(),
            born,
            version,
            outcome,
        });
    }
}
