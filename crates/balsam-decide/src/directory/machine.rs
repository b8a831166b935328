//! Follows the platform's list of upstreams through its outages.

use super::{Believed, Upstreams};
use balsam_types::{Map, TimeMs, UpstreamEntry, UpstreamName, new_map};
use std::sync::Arc;

/// How long a vanished entry is kept when it vanished around an outage of the store, in
/// milliseconds.
///
/// Entries that lapse while the store is away are back about two seconds after its return.
pub const LAPSE_GRACE_MS: u64 = 2_100;

/// What the directory is told.
#[derive(Clone, Debug)]
pub enum DirectoryInput {
    /// The whole list was read; what is not in it does not exist.
    Listed(Vec<UpstreamEntry>),
    /// An entry was written.
    Changed(UpstreamEntry),
    /// An entry was removed.
    Removed(UpstreamName),
    /// A call to the store failed.
    StoreFailed,
    /// Time has passed.
    Tick,
}

/// The upstreams that this daemon believes to exist.
#[derive(Debug)]
pub struct Directory {
    upstreams: Map<UpstreamName, Arc<Believed>>,
    /// Vanished entries and until when they are kept.
    lapsing: Map<UpstreamName, TimeMs>,
    /// When a call to the store failed last.
    failed_at: Option<TimeMs>,
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
            lapsing: new_map(),
            failed_at: None,
        }
    }

    /// Takes one input; returns the new list if it changed.
    pub fn handle(&mut self, now: TimeMs, input: DirectoryInput) -> Option<Upstreams> {
        let changed = match input {
            DirectoryInput::Listed(entries) => self.replace(now, entries),
            DirectoryInput::Changed(entry) => self.put(now, entry),
            DirectoryInput::Removed(name) => self.remove(now, &name),
            DirectoryInput::StoreFailed => {
                self.failed_at = Some(now);
                false
            }
            DirectoryInput::Tick => false,
        };
        let expired = self.expire(now);
        (changed || expired).then(|| Upstreams::new(self.upstreams.values().cloned()))
    }

    /// Returns whether entries that vanish may be back soon.
    fn in_outage(&self, now: TimeMs) -> bool {
        self.failed_at
            .is_some_and(|at| now.since(at) <= LAPSE_GRACE_MS)
    }

    /// Returns the entries that the store lists; those that are kept although they vanished are left
    /// out, because nobody else would learn of their end.
    pub fn listed(&self) -> Vec<UpstreamEntry> {
        let kept = self.upstreams.iter();
        let listed = kept.filter(|(name, _)| !self.lapsing.contains_key(*name));
        listed.map(|(_, believed)| believed.entry.clone()).collect()
    }

    /// Returns when the next entry lapses.
    pub fn next_lapse(&self) -> Option<TimeMs> {
        self.lapsing.values().min().copied()
    }

    fn replace(&mut self, now: TimeMs, entries: Vec<UpstreamEntry>) -> bool {
        let mut changed = false;
        let listed: balsam_types::Set<UpstreamName> =
            entries.iter().map(|entry| entry.name.clone()).collect();
        let known: Vec<UpstreamName> = self.upstreams.keys().cloned().collect();
        for name in known.iter().filter(|name| !listed.contains(*name)) {
            changed |= self.remove(now, name);
        }
        for entry in entries {
            changed |= self.put(now, entry);
        }
        changed
    }

    fn put(&mut self, now: TimeMs, entry: UpstreamEntry) -> bool {
        self.lapsing.remove(&entry.name);
        if let Some(known) = self.upstreams.get(&entry.name) {
            // A row that was read before a newer one of the same upstream must not bring back its
            // former life.
            if known.entry.born > entry.born || known.entry == entry {
                return false;
            }
        }
        let cold_until = now.after(entry.warmup_left_ms);
        let name = entry.name.clone();
        self.upstreams
            .insert(name, Arc::new(Believed { entry, cold_until }));
        true
    }

    fn remove(&mut self, now: TimeMs, name: &UpstreamName) -> bool {
        let Some(known) = self.upstreams.get(name) else {
            return false;
        };
        // An upstream that announced its leaving is not coming back.
        let may_return = known.entry.is_ready();
        if may_return && self.in_outage(now) {
            let until = now.after(LAPSE_GRACE_MS);
            self.lapsing.entry(name.clone()).or_insert(until);
            return false;
        }
        self.lapsing.remove(name);
        self.upstreams.remove(name);
        true
    }

    fn expire(&mut self, now: TimeMs) -> bool {
        let due: Vec<UpstreamName> = self
            .lapsing
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &due {
            self.lapsing.remove(name);
            self.upstreams.remove(name);
        }
        !due.is_empty()
    }
}
