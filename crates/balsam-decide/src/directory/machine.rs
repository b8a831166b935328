//! Tracks the platform's list of upstreams, also through outages of the store.

use super::{DiscoveredUpstream, DiscoveryNotice, DiscoveryOutcome, Upstreams};
use balsam_types::{
    Map, ServiceName, Set, StartTime, StoreEra, TimeMs, UpstreamEntry, UpstreamName, UpstreamRow,
    ZoneName, new_map,
};
use std::sync::Arc;

/// How long after an outage of the store upstreams whose rows have disappeared are kept, in
/// milliseconds.
///
/// Rows that expire during an outage of the store are back about two seconds after the outage.
pub const EXPIRY_GRACE_MS: u64 = 2_100;

/// The number of removals that are remembered, so that an older row that arrives late does not
/// bring a removed upstream back.
const REMOVED_MAX: usize = 4_096;

/// An input of the directory.
#[derive(Clone, Debug)]
pub enum DirectoryInput {
    /// The whole list was read; upstreams that are not in it do not exist.
    Listed {
        /// The version of the store that the list shows.
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
    /// A call to the store failed, or the store has just become available again.
    StoreFailed,
    /// The services of the configuration in force.
    Services(Set<ServiceName>),
    /// A zone that was evacuated is taken back into use. Its upstreams have had no requests, so that
    /// they are cold whatever their rows say.
    ZoneTakenBack {
        /// The zone.
        zone: ZoneName,
        /// How long upstreams are cold after a start, in milliseconds, by service.
        warmups_ms: Map<ServiceName, u64>,
    },
    /// Time has passed. The ticks remove upstreams that were kept long enough while nothing else is
    /// heard from the store.
    Tick,
}

/// The newest row of one upstream.
#[derive(Debug)]
struct KnownUpstream {
    /// The version that the store gave the row.
    version: u64,
    current: Arc<DiscoveredUpstream>,
}

/// An upstream whose row has disappeared, and which is kept because the row may come back.
#[derive(Clone, Copy, Debug)]
struct MissingUpstream {
    /// When the upstream is removed unless its row is back.
    until: TimeMs,
    /// The version of the removal, or of the list that lacks the row.
    version: u64,
}

/// An upstream that was removed.
#[derive(Clone, Copy, Debug)]
struct RemovedUpstream {
    /// The version of the removal.
    version: u64,
    /// The start time of the process that was removed.
    born: StartTime,
}

/// The upstreams that this daemon considers to exist.
///
/// A row of a service that the configuration does not name describes no upstream: another program
/// may have written it. It is kept, because the configuration that names the service may arrive
/// later than the row, but it is not listed.
#[derive(Debug)]
pub struct Directory {
    /// The newest rows, listed or not.
    upstreams: Map<UpstreamName, KnownUpstream>,
    /// The services of the configuration, once one is known.
    services: Option<Set<ServiceName>>,
    /// Upstreams that were removed.
    removed: Map<UpstreamName, RemovedUpstream>,
    /// Upstreams that are kept although their rows have disappeared.
    missing: Map<UpstreamName, MissingUpstream>,
    /// Until when the upstreams of a service in a zone that was taken back are cold.
    cold_until: Map<(ZoneName, ServiceName), TimeMs>,
    /// When a call to the store last failed, or the store last became available again.
    failed_at: Option<TimeMs>,
    /// The era of the newest list, once a list was read.
    era: Option<StoreEra>,
    /// How rows were handled since the notices were last taken.
    notices: Vec<DiscoveryNotice>,
}

impl Default for Directory {
    fn default() -> Self {
        Self::new()
    }
}

impl Directory {
    /// Creates an empty directory.
    pub fn new() -> Self {
        Self {
            upstreams: new_map(),
            services: None,
            removed: new_map(),
            missing: new_map(),
            cold_until: new_map(),
            failed_at: None,
            era: None,
            notices: Vec::new(),
        }
    }

    /// Returns how the rows of the inputs since the last call were handled.
    pub fn take_notices(&mut self) -> Vec<DiscoveryNotice> {
        std::mem::take(&mut self.notices)
    }

    /// Handles one input, and returns the new list if it has changed.
    pub fn handle(&mut self, now: TimeMs, input: DirectoryInput) -> Option<Upstreams> {
        let changed = match input {
            DirectoryInput::Listed { version, rows } => {
                self.enter_era(now, StoreEra::of(version));
                self.replace_all(now, version, rows)
            }
            DirectoryInput::Changed(row) => self.upsert(now, row),
            DirectoryInput::Removed { version, name } => self.remove(now, version, &name),
            DirectoryInput::StoreFailed => {
                self.failed_at = Some(now);
                false
            }
            DirectoryInput::Services(services) => self.adopt_services(services),
            DirectoryInput::ZoneTakenBack { zone, warmups_ms } => {
                self.take_back(now, &zone, warmups_ms)
            }
            DirectoryInput::Tick => false,
        };
        let expired = self.expire(now);
        let known = self.upstreams.values();
        let known = known.filter(|known| self.has_service(&known.current.entry));
        let current = known.map(|known| Arc::clone(&known.current));
        (changed || expired).then(|| Upstreams::new(current))
    }

    /// Returns whether the configuration names the service of an entry, or none is known yet.
    fn has_service(&self, entry: &UpstreamEntry) -> bool {
        let services = self.services.as_ref();
        services.is_none_or(|services| services.contains(&entry.service))
    }

    /// Adopts the services of a configuration. Returns whether that lists or hides any upstream.
    fn adopt_services(&mut self, services: Set<ServiceName>) -> bool {
        let previous = self.services.replace(services);
        let was_listed = |entry: &UpstreamEntry| {
            let previous = previous.as_ref();
            previous.is_none_or(|services| services.contains(&entry.service))
        };
        let known = self.upstreams.values();
        let changed = known.filter(|known| {
            let entry = &known.current.entry;
            was_listed(entry) != self.has_service(entry)
        });
        let notices: Vec<DiscoveryNotice> = changed
            .map(|known| DiscoveryNotice {
                upstream: known.current.entry.name.clone(),
                born: known.current.entry.born,
                version: known.version,
                outcome: self.outcome_of(&known.current.entry),
            })
            .collect();
        let has_changed = !notices.is_empty();
        self.notices.extend(notices);
        has_changed
    }

    /// Returns how an adopted row is handled.
    fn outcome_of(&self, entry: &UpstreamEntry) -> DiscoveryOutcome {
        match (self.has_service(entry), entry.is_ready()) {
            (false, _) => DiscoveryOutcome::UnknownService,
            (true, true) => DiscoveryOutcome::Ready,
            (true, false) => DiscoveryOutcome::Draining,
        }
    }

    /// Returns until when an upstream is kept whose row disappears now, or `None` if there was no
    /// outage shortly before.
    fn kept_until(&self, now: TimeMs) -> Option<TimeMs> {
        let until = self.failed_at?.after(EXPIRY_GRACE_MS);
        (now < until).then_some(until)
    }

    /// Returns the rows that the store lists.
    ///
    /// Upstreams that are kept although their rows have disappeared are left out: a daemon that
    /// adopted them from this list would not learn when they are removed.
    pub fn listed(&self) -> Vec<UpstreamRow> {
        let kept = self.upstreams.iter();
        let listed = kept.filter(|(name, _)| !self.missing.contains_key(*name));
        let row = |known: &KnownUpstream| UpstreamRow {
            version: known.version,
            entry: known.current.entry.clone(),
        };
        listed.map(|(_, known)| row(known)).collect()
    }

    /// Returns when the next upstream whose row has disappeared is due to be removed.
    pub fn next_expiry(&self) -> Option<TimeMs> {
        self.missing.values().map(|missing| missing.until).min()
    }

    /// Records the era of a list. The first list of a restored store may lack upstreams whose entries
    /// it has lost, and they write them again as after an outage.
    fn enter_era(&mut self, now: TimeMs, era: StoreEra) {
        if self.era.is_some_and(|known| known < era) {
            self.failed_at = Some(now);
        }
        self.era = self.era.max(Some(era));
    }

    fn replace_all(&mut self, now: TimeMs, version: u64, rows: Vec<UpstreamRow>) -> bool {
        let mut changed = false;
        let listed: Set<UpstreamName> = rows.iter().map(|row| row.entry.name.clone()).collect();
        let known: Vec<UpstreamName> = self.upstreams.keys().cloned().collect();
        for name in known.iter().filter(|name| !listed.contains(*name)) {
            changed |= self.remove(now, version, name);
        }
        for row in rows {
            changed |= self.upsert(now, row);
        }
        changed
    }

    fn upsert(&mut self, now: TimeMs, row: UpstreamRow) -> bool {
        let UpstreamRow { version, entry } = row;
        if self.is_older(&entry, version) {
            self.record_outcome(&entry.name, entry.born, version, DiscoveryOutcome::Older);
            return false;
        }
        if self.has_left_before(&entry, version) {
            self.record_outcome(&entry.name, entry.born, version, DiscoveryOutcome::Older);
            return false;
        }
        self.missing.remove(&entry.name);
        self.removed.remove(&entry.name);
        if let Some(known) = self.upstreams.get_mut(&entry.name)
            && known.current.entry == entry
        {
            known.version = version;
            return false;
        }
        let outcome = self.outcome_of(&entry);
        self.record_outcome(&entry.name, entry.born, version, outcome);
        let cold_until = (entry.zone.clone(), entry.service.clone());
        let cold_until = self.cold_until.get(&cold_until).copied();
        let warmup_ends_at = now.after(entry.warmup_left_ms);
        let warmup_ends_at = warmup_ends_at.max(cold_until.unwrap_or_default());
        let name = entry.name.clone();
        let current = Arc::new(DiscoveredUpstream {
            entry,
            warmup_ends_at,
        });
        self.upstreams
            .insert(name, KnownUpstream { version, current });
        true
    }

    /// Marks the upstreams of a zone as cold. Returns whether that has changed any.
    fn take_back(
        &mut self,
        now: TimeMs,
        zone: &ZoneName,
        warmups_ms: Map<ServiceName, u64>,
    ) -> bool {
        self.cold_until.retain(|_, until| *until > now);
        for (service, warmup_ms) in warmups_ms {
            let until = now.after(warmup_ms);
            self.cold_until.insert((zone.clone(), service), until);
        }
        let mut changed = false;
        for known in self.upstreams.values_mut() {
            let entry = &known.current.entry;
            let group = (entry.zone.clone(), entry.service.clone());
            let until = self.cold_until.get(&group).copied().unwrap_or_default();
            if entry.zone == *zone && until > known.current.warmup_ends_at {
                Arc::make_mut(&mut known.current).warmup_ends_at = until;
                changed = true;
            }
        }
        changed
    }

    /// Returns whether newer data than the row is known of its upstream.
    ///
    /// Responses of the store, changes relayed by the leader and the leader's snapshots may arrive
    /// in any order. The start times are compared as well, because a late write of an earlier
    /// incarnation of the upstream has a newer version. The start time of a row of an unknown
    /// service says nothing about the upstream.
    fn is_older(&self, entry: &UpstreamEntry, version: u64) -> bool {
        let is_removed = |removed: &RemovedUpstream| removed.version >= version;
        let known = self.upstreams.get(&entry.name);
        let is_newer = |known: &KnownUpstream| {
            let current = &known.current.entry;
            known.version > version
                || current.born > entry.born && self.has_service(current)
                || known.version == version && entry.is_ready() && !current.is_ready()
        };
        known.is_some_and(is_newer) || self.removed.get(&entry.name).is_some_and(is_removed)
    }

    /// Returns whether a row of a restored store shows an upstream as ready that has left in the lost
    /// time, and records its version, so that a row that the upstream writes again counts.
    fn has_left_before(&mut self, entry: &UpstreamEntry, version: u64) -> bool {
        let is_restored = |known: u64| StoreEra::of(known) < StoreEra::of(version);
        if !entry.is_ready() {
            return false;
        }
        if let Some(removed) = self.removed.get_mut(&entry.name) {
            let has_left = removed.born == entry.born && is_restored(removed.version);
            if has_left {
                removed.version = version;
            }
            return has_left;
        }
        let Some(known) = self.upstreams.get_mut(&entry.name) else {
            return false;
        };
        let current = &known.current.entry;
        let has_left =
            current.born == entry.born && !current.is_ready() && is_restored(known.version);
        if has_left {
            known.version = version;
        }
        has_left
    }

    fn remove(&mut self, now: TimeMs, version: u64, name: &UpstreamName) -> bool {
        let known = self.upstreams.get(name);
        let Some(known) = known.filter(|known| known.version <= version) else {
            return false;
        };
        let entry = &known.current.entry;
        let born = entry.born;
        // An upstream that has announced that it is leaving does not come back.
        let may_return = entry.is_ready();
        if let Some(until) = self.kept_until(now).filter(|_| may_return) {
            if !self.missing.contains_key(name) {
                let missing = MissingUpstream { until, version };
                self.missing.insert(name.clone(), missing);
                self.record_outcome(name, born, version, DiscoveryOutcome::Kept { until });
            }
            return false;
        }
        self.missing.remove(name);
        self.upstreams.remove(name);
        self.remember_removal(name.clone(), RemovedUpstream { version, born });
        self.record_outcome(name, born, version, DiscoveryOutcome::Removed);
        true
    }

    fn remember_removal(&mut self, name: UpstreamName, removed: RemovedUpstream) {
        self.removed.insert(name, removed);
        let versions = self.removed.values().map(|removed| removed.version);
        if self.removed.len() > REMOVED_MAX
            && let Some(oldest) = versions.min()
        {
            self.removed.retain(|_, removed| removed.version > oldest);
        }
    }

    fn expire(&mut self, now: TimeMs) -> bool {
        let due = self.missing.extract_if(|_, missing| missing.until <= now);
        let due: Vec<(UpstreamName, MissingUpstream)> = due.collect();
        for (name, MissingUpstream { version, .. }) in &due {
            if let Some(known) = self.upstreams.remove(name) {
                let born = known.current.entry.born;
                self.record_outcome(name, born, *version, DiscoveryOutcome::Lapsed);
                let version = *version;
                self.remember_removal(name.clone(), RemovedUpstream { version, born });
            }
        }
        !due.is_empty()
    }

    fn record_outcome(
        &mut self,
        name: &UpstreamName,
        born: StartTime,
        version: u64,
        outcome: DiscoveryOutcome,
    ) {
        self.notices.push(DiscoveryNotice {
            upstream: name.clone(),
            born,
            version,
            outcome,
        });
    }
}
