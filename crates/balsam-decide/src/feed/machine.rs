//! Chooses the source of each table.

use super::{FeedSource, FeedState, FeedTable, TableState};
use balsam_types::TimeMs;

/// How long another daemon that follows the store lets it wait for a change, in milliseconds.
pub const FEED_PEER_LONG_POLL_MS: u64 = 1_000;

/// How long the leader's heartbeats may be missing, in milliseconds: three of them.
const SILENT_MS: u64 = 750;

/// How long the store may be silent to the leader before another daemon replaces it, in
/// milliseconds; shorter than a leader's trust in itself, so that keys keep their owners.
const REPLACE_MS: u64 = 3_000;

/// How long ago the store must have answered a daemon that replaces the leader, in milliseconds.
const REACHED_MS: u64 = FEED_PEER_LONG_POLL_MS + 500;

/// How long a daemon tries to read an announced change from the store before it asks the leader, in
/// milliseconds; a store that answers does so sooner.
const SNAPSHOT_AFTER_MS: u64 = 600;

/// Age of a table for which the store has not answered yet, in milliseconds.
const UNKNOWN_AGE_MS: u64 = 3_600_000;

/// What this daemon knows of one table.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// Versions, once the table was read.
    state: Option<TableState>,
    /// When the store last answered, unless a call has failed since.
    answered_at: Option<TimeMs>,
    /// Whether a call has failed and the store has answered neither this daemon nor the leader since.
    is_lost: bool,
    /// Since when the leader announces a change that this daemon does not know.
    behind_since: Option<TimeMs>,
}

impl Known {
    /// Compares with what the leader says.
    fn compare(&mut self, now: TimeMs, theirs: TableState) {
        let is_whole = self.state.is_some_and(|mine| mine.seen >= theirs.changed);
        if is_whole {
            self.behind_since = None;
        } else {
            self.behind_since.get_or_insert(now);
        }
    }
}

/// Decides from where each table is followed.
///
/// A daemon relies on the leader only while it hears from it, while the store answers the leader,
/// and while it knows all changes that the leader has announced. Otherwise it follows the store
/// itself, so that a change is known in time whatever becomes of the leader.
#[derive(Debug, Default)]
pub struct Feed {
    config: Known,
    upstreams: Known,
    heard: Option<(TimeMs, FeedState)>,
}

impl Feed {
    /// Makes the feed of a daemon that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    const fn known(&self, table: FeedTable) -> &Known {
        match table {
            FeedTable::Config => &self.config,
            FeedTable::Upstreams => &self.upstreams,
        }
    }

    const fn known_mut(&mut self, table: FeedTable) -> &mut Known {
        match table {
            FeedTable::Config => &mut self.config,
            FeedTable::Upstreams => &mut self.upstreams,
        }
    }

    /// Notes an answer of the store; `version` is its newest version. Returns whether the store was
    /// away until now, as far as this daemon knows.
    pub fn record_response(
        &mut self,
        now: TimeMs,
        table: FeedTable,
        version: u64,
        has_changes: bool,
    ) -> bool {
        let known = self.known_mut(table);
        let was_lost = std::mem::take(&mut known.is_lost);
        known.answered_at = Some(now);
        let state = known.state.get_or_insert_default();
        if has_changes {
            state.changed = state.changed.max(version);
        }
        state.seen = state.seen.max(version);
        self.compare(now, table);
        was_lost
    }

    fn compare(&mut self, now: TimeMs, table: FeedTable) {
        if let Some((_, said)) = self.heard {
            self.known_mut(table).compare(now, said.of(table));
        }
    }

    /// Notes that a call to the store has failed.
    pub const fn record_failure(&mut self, table: FeedTable) {
        let known = self.known_mut(table);
        known.answered_at = None;
        known.is_lost = true;
    }

    /// Takes changes that the leader passes on, after `base` and up to `version`; returns whether
    /// they are new and follow without a gap.
    pub fn accept_delta(&mut self, now: TimeMs, table: FeedTable, base: u64, version: u64) -> bool {
        let fits = self.seen(table).is_some_and(|seen| base <= seen);
        fits && self.accept_snapshot(now, table, version)
    }

    /// Takes a snapshot of the whole table that the leader knows up to `version`; returns whether
    /// it is new.
    pub fn accept_snapshot(&mut self, now: TimeMs, table: FeedTable, version: u64) -> bool {
        let is_new = self.seen(table).is_none_or(|seen| seen < version);
        if is_new {
            self.known_mut(table).state = Some(TableState {
                changed: version,
                seen: version,
            });
            self.compare(now, table);
        }
        is_new
    }

    /// Notes what a heartbeat of the leader says.
    pub fn heard(&mut self, now: TimeMs, said: FeedState) {
        self.heard = Some((now, said));
        for table in FeedTable::ALL {
            let theirs = said.of(table);
            // Without a change in between, the leader's newer version holds here as well.
            if let Some(mine) = &mut self.known_mut(table).state
                && mine.seen >= theirs.changed
            {
                mine.seen = mine.seen.max(theirs.seen);
            }
            // The store answers the leader, so that it is away for this daemon alone.
            self.known_mut(table).is_lost &= !said.is_fresh();
            self.compare(now, table);
        }
    }

    /// Returns the version up to which a table is known, once it was read.
    pub fn seen(&self, table: FeedTable) -> Option<u64> {
        self.known(table).state.map(|state| state.seen)
    }

    /// Returns what this daemon says of the tables as the leader.
    pub fn state(&self, now: TimeMs) -> FeedState {
        let state = |known: &Known| known.state.unwrap_or_default();
        FeedState {
            config: state(&self.config),
            upstreams: state(&self.upstreams),
            age_ms: self.age_ms(now),
        }
    }

    /// Returns how long the store has been silent, for the table for which it has been longest.
    fn age_ms(&self, now: TimeMs) -> u64 {
        let age = |known: &Known| known.answered_at.map_or(UNKNOWN_AGE_MS, |at| now.since(at));
        age(&self.config).max(age(&self.upstreams))
    }

    /// Returns how old this daemon's knowledge of the tables is, from the store or from the leader.
    pub fn staleness_ms(&self, now: TimeMs) -> u64 {
        let told = self.heard.as_ref();
        let told = told.map_or(UNKNOWN_AGE_MS, |(heard_at, said)| {
            now.since(*heard_at).saturating_add(said.age_ms)
        });
        self.age_ms(now).min(told)
    }

    /// Returns from where a daemon that is not the leader learns of a table's changes.
    pub fn source(&self, now: TimeMs, table: FeedTable) -> FeedSource {
        let Some((heard_at, said)) = &self.heard else {
            return FeedSource::Store;
        };
        let is_fresh = now.since(*heard_at) <= SILENT_MS && said.is_fresh();
        if is_fresh && !self.is_behind(table) {
            FeedSource::Leader
        } else {
            FeedSource::Store
        }
    }

    /// Returns whether the leader has announced a change that this daemon does not know.
    pub const fn is_behind(&self, table: FeedTable) -> bool {
        self.known(table).behind_since.is_some()
    }

    /// Returns whether the store should have brought an announced change by now, so that the leader
    /// is to be asked for a snapshot.
    pub fn needs_snapshot(&self, now: TimeMs, table: FeedTable) -> bool {
        let since = self.known(table).behind_since;
        since.is_some_and(|since| now.since(since) >= SNAPSHOT_AFTER_MS)
    }

    /// Returns whether the store answers this daemon and has not answered the leader for long.
    pub fn should_replace(&self, now: TimeMs) -> bool {
        let is_lost = |(heard_at, said): &(TimeMs, FeedState)| {
            now.since(*heard_at) <= SILENT_MS && said.age_ms > REPLACE_MS
        };
        self.heard.as_ref().is_some_and(is_lost) && self.age_ms(now) <= REACHED_MS
    }
}
