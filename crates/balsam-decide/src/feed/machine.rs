//! Chooses the source of the changes of each table.

use super::{FeedSource, FeedState, FeedTable, TableState};
use balsam_types::TimeMs;

/// How long the store may hold a long-poll call of a daemon that is not the leader open while
/// nothing changes, in milliseconds.
pub const FEED_PEER_LONG_POLL_MS: u64 = 1_000;

/// How long the leader's heartbeats may be missing before a daemon no longer relies on the leader,
/// in milliseconds: the time of three heartbeats.
const HEARTBEAT_TIMEOUT_MS: u64 = 750;

/// How long the store may fail to respond to the leader before another daemon replaces the leader,
/// in milliseconds.
///
/// It is shorter than the time for which a leader keeps renewing grants without the store, so that
/// the next leader takes over while the keys still have their owners.
const REPLACE_LEADER_AFTER_MS: u64 = 3_000;

/// The greatest age of the store's last response to a daemon that replaces the leader, in
/// milliseconds.
const STORE_REACHABLE_MS: u64 = FEED_PEER_LONG_POLL_MS + 500;

/// How long a daemon tries to read an announced change from the store before it asks the leader for
/// a snapshot, in milliseconds. A store that works responds sooner.
const SNAPSHOT_AFTER_MS: u64 = 600;

/// The age of a table without any response of the store yet, in milliseconds.
const UNKNOWN_AGE_MS: u64 = 3_600_000;

/// What this daemon knows of one table.
#[derive(Clone, Copy, Debug, Default)]
struct KnownTable {
    /// The known versions, once the table was read.
    state: Option<TableState>,
    /// When the store last responded, unless a call has failed since then.
    response_at: Option<TimeMs>,
    /// Whether a call has failed, and the store has responded neither to this daemon nor to the
    /// leader since.
    is_unavailable: bool,
    /// Since when this daemon lacks a change that the leader has announced.
    behind_since: Option<TimeMs>,
}

impl KnownTable {
    /// Compares the known versions with the leader's, and notes since when they are behind.
    fn update_lag(&mut self, now: TimeMs, leader_state: TableState) {
        let is_up_to_date = self
            .state
            .is_some_and(|own_state| own_state.seen >= leader_state.changed);
        if is_up_to_date {
            self.behind_since = None;
        } else {
            self.behind_since.get_or_insert(now);
        }
    }
}

/// Decides where the changes of each table come from.
///
/// A daemon relies on the leader only while the leader's heartbeats arrive, the store responds to
/// the leader, and the daemon knows all changes that the leader has announced. Otherwise it follows
/// the store itself, so that it learns of changes in time even if the leader fails.
#[derive(Debug, Default)]
pub struct Feed {
    config: KnownTable,
    upstreams: KnownTable,
    /// The arrival time and the contents of the leader's last heartbeat.
    heard: Option<(TimeMs, FeedState)>,
}

impl Feed {
    /// Creates the feed of a daemon that has not read any table.
    pub fn new() -> Self {
        Self::default()
    }

    const fn known(&self, table: FeedTable) -> &KnownTable {
        match table {
            FeedTable::Config => &self.config,
            FeedTable::Upstreams => &self.upstreams,
        }
    }

    const fn known_mut(&mut self, table: FeedTable) -> &mut KnownTable {
        match table {
            FeedTable::Config => &mut self.config,
            FeedTable::Upstreams => &mut self.upstreams,
        }
    }

    /// Records a response of the store, whose newest version is `version`.
    ///
    /// Returns whether the store was unavailable until now, as far as this daemon knows.
    pub fn record_response(
        &mut self,
        now: TimeMs,
        table: FeedTable,
        version: u64,
        has_changes: bool,
    ) -> bool {
        let known = self.known_mut(table);
        let was_unavailable = std::mem::take(&mut known.is_unavailable);
        known.response_at = Some(now);
        let state = known.state.get_or_insert_default();
        if has_changes {
            state.changed = state.changed.max(version);
        }
        state.seen = state.seen.max(version);
        self.update_lag(now, table);
        was_unavailable
    }

    fn update_lag(&mut self, now: TimeMs, table: FeedTable) {
        if let Some((_, reported)) = self.heard {
            self.known_mut(table).update_lag(now, reported.of(table));
        }
    }

    /// Records that a call to the store has failed.
    pub const fn record_failure(&mut self, table: FeedTable) {
        let known = self.known_mut(table);
        known.response_at = None;
        known.is_unavailable = true;
    }

    /// Records that the leader has relayed the changes after `base` and up to `version`.
    ///
    /// Returns whether they are new and follow the known changes without a gap; otherwise nothing
    /// is recorded, and the caller must ignore them.
    pub fn accept_delta(&mut self, now: TimeMs, table: FeedTable, base: u64, version: u64) -> bool {
        let is_contiguous = self.seen(table).is_some_and(|seen| base <= seen);
        is_contiguous && self.accept_snapshot(now, table, version)
    }

    /// Records that the leader has sent a snapshot of the whole table at `version`.
    ///
    /// Returns whether it is newer than what is known; otherwise the caller must ignore it.
    pub fn accept_snapshot(&mut self, now: TimeMs, table: FeedTable, version: u64) -> bool {
        let is_new = self.seen(table).is_none_or(|seen| seen < version);
        if is_new {
            self.known_mut(table).state = Some(TableState {
                changed: version,
                seen: version,
            });
            self.update_lag(now, table);
        }
        is_new
    }

    /// Records the state of the tables that a heartbeat of the leader reports.
    pub fn heard(&mut self, now: TimeMs, reported: FeedState) {
        self.heard = Some((now, reported));
        for table in FeedTable::ALL {
            let leader_state = reported.of(table);
            // The leader knows of no change after its last one, so a daemon that has this change is
            // as up to date as the leader.
            if let Some(own_state) = &mut self.known_mut(table).state
                && own_state.seen >= leader_state.changed
            {
                own_state.seen = own_state.seen.max(leader_state.seen);
            }
            // If the store responds to the leader, it is not unavailable; only this daemon cannot
            // reach it.
            self.known_mut(table).is_unavailable &= !reported.is_fresh();
            self.update_lag(now, table);
        }
    }

    /// Returns the version up to which a table is known, or `None` if it was not read yet.
    pub fn seen(&self, table: FeedTable) -> Option<u64> {
        self.known(table).state.map(|state| state.seen)
    }

    /// Returns the state of the tables that this daemon reports if it is the leader.
    pub fn state(&self, now: TimeMs) -> FeedState {
        let state = |known: &KnownTable| known.state.unwrap_or_default();
        FeedState {
            config: state(&self.config),
            upstreams: state(&self.upstreams),
            age_ms: self.age_ms(now),
        }
    }

    /// Returns the time since the store's last response for the table whose last response is the
    /// oldest, in milliseconds.
    fn age_ms(&self, now: TimeMs) -> u64 {
        let age = |known: &KnownTable| known.response_at.map_or(UNKNOWN_AGE_MS, |at| now.since(at));
        age(&self.config).max(age(&self.upstreams))
    }

    /// Returns the age of this daemon's knowledge of the tables, in milliseconds.
    ///
    /// It comes from the store or the leader, whichever is newer.
    pub fn staleness_ms(&self, now: TimeMs) -> u64 {
        let via_leader = self.heard.as_ref();
        let via_leader = via_leader.map_or(UNKNOWN_AGE_MS, |(heard_at, reported)| {
            now.since(*heard_at).saturating_add(reported.age_ms)
        });
        self.age_ms(now).min(via_leader)
    }

    /// Returns where a daemon that is not the leader gets the changes of a table from.
    pub fn source(&self, now: TimeMs, table: FeedTable) -> FeedSource {
        let Some((heard_at, reported)) = &self.heard else {
            return FeedSource::Store;
        };
        let is_fresh = now.since(*heard_at) <= HEARTBEAT_TIMEOUT_MS && reported.is_fresh();
        if is_fresh && !self.is_behind(table) {
            FeedSource::Leader
        } else {
            FeedSource::Store
        }
    }

    /// Returns whether this daemon lacks a change that the leader has announced.
    pub const fn is_behind(&self, table: FeedTable) -> bool {
        self.known(table).behind_since.is_some()
    }

    /// Returns whether an announced change has not been read from the store in time, so that the
    /// leader must be asked for a snapshot.
    pub fn needs_snapshot(&self, now: TimeMs, table: FeedTable) -> bool {
        let since = self.known(table).behind_since;
        since.is_some_and(|since| now.since(since) >= SNAPSHOT_AFTER_MS)
    }

    /// Returns whether this daemon should replace the leader, because the store responds to this
    /// daemon and has not responded to the leader for a long time.
    pub fn should_replace(&self, now: TimeMs) -> bool {
        let is_unavailable = |(heard_at, reported): &(TimeMs, FeedState)| {
            now.since(*heard_at) <= HEARTBEAT_TIMEOUT_MS
                && reported.age_ms > REPLACE_LEADER_AFTER_MS
        };
        self.heard.as_ref().is_some_and(is_unavailable) && self.age_ms(now) <= STORE_REACHABLE_MS
    }
}
