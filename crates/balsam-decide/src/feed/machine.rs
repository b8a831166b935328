//! Chooses the source of the changes of each table.

use super::{FeedSource, FeedState, FeedTable, TableState};
use crate::peers::DIRECT_RECEIVERS_MAX;
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

/// How long a starting daemon waits for the snapshot of a leader that has announced itself before it
/// reads the table from the store, in milliseconds. A leader that has many snapshots to send leaves
/// requests unanswered.
const FIRST_SNAPSHOT_WAIT_MS: u64 = 500;

/// How many calls per second and table all daemons together make to the store while it does not
/// respond to the leader. One of them notices soon if the store responds to the others.
const PROBES_PER_S: u64 = 40;

/// Number of daemons up to which each of them follows the store on its own while it does not respond
/// to the leader. They learn of changes sooner, and make about as many calls as larger deployments.
const UNPACED_DAEMONS_MAX: u64 = 20;

/// How much later, for each daemon of the deployment, the last one reads the store after the leader
/// has fallen silent, in milliseconds. Most daemons hear the next leader before their turn comes.
const SILENCE_SPREAD_MS_PER_DAEMON: u64 = 2;

/// Upper limit on that delay, in milliseconds. A change must be known within 1.5 s.
const SILENCE_SPREAD_MAX_MS: u64 = 600;

/// How long a daemon of a large deployment waits for an announced change before it reads the store,
/// in milliseconds. Other daemons pass the change on, so that the heartbeat may overtake it.
const RELAYED_CHANGE_WAIT_MS: u64 = 400;

/// Scale of a daemon's turn.
const TURN_SCALE: u64 = 1_000;

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
    /// When a call last ended, with or without a response.
    called_at: Option<TimeMs>,
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
    /// Since when the store does not respond to the leader, according to its heartbeats.
    leader_stale_since: Option<TimeMs>,
    /// Number of daemons in the deployment, or 0 while it is not known.
    daemons: u64,
    /// The place of this daemon among all daemons that call the store one after the other, from 0
    /// to `TURN_SCALE`.
    turn: u64,
    /// Until when a starting daemon waits to hear from a leader.
    first_read_at: TimeMs,
}

impl Feed {
    /// Creates the feed of a daemon that has not read any table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes a starting daemon wait until `first_read_at` to hear from a leader, which has the
    /// tables, before it reads them from the store.
    #[must_use]
    pub const fn with_first_read_at(mut self, first_read_at: TimeMs) -> Self {
        self.first_read_at = first_read_at;
        self
    }

    /// Sets the place of this daemon among all daemons that call the store one after the other.
    #[must_use]
    pub const fn with_turn(mut self, turn: u64) -> Self {
        self.turn = turn % TURN_SCALE;
        self
    }

    /// Sets the number of daemons in the deployment.
    pub fn set_daemons(&mut self, daemons: u32) {
        self.daemons = daemons.into();
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
        known.called_at = Some(now);
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
    pub const fn record_failure(&mut self, now: TimeMs, table: FeedTable) {
        let known = self.known_mut(table);
        known.response_at = None;
        known.called_at = Some(now);
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
    /// Returns whether it is newer than what is known; otherwise the caller must ignore it. A daemon
    /// that knows nothing yet must not start from what a leader knew before an outage, unless the
    /// store does not respond to this daemon either.
    pub fn accept_snapshot(&mut self, now: TimeMs, table: FeedTable, version: u64) -> bool {
        let is_new = match self.seen(table) {
            Some(seen) => seen < version,
            None => self.is_leader_fresh(now) || self.known(table).is_unavailable,
        };
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
        if reported.is_fresh() {
            self.leader_stale_since = None;
        } else {
            self.leader_stale_since.get_or_insert(now);
        }
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

    /// Returns whether the leader was heard a short time ago and knows the newest versions.
    fn is_leader_fresh(&self, now: TimeMs) -> bool {
        let is_fresh = |(heard_at, reported): &(TimeMs, FeedState)| {
            now.since(*heard_at) <= HEARTBEAT_TIMEOUT_MS && reported.is_fresh()
        };
        self.heard.as_ref().is_some_and(is_fresh)
    }

    /// Returns where a daemon that is not the leader gets the changes of a table from.
    pub fn source(&self, now: TimeMs, table: FeedTable) -> FeedSource {
        if self.next_call_at(now, table).is_some_and(|at| at <= now) {
            FeedSource::Store
        } else {
            FeedSource::Leader
        }
    }

    /// Returns when a daemon that is not the leader calls the store for a table next, or `None` if
    /// the leader forwards all changes.
    fn next_call_at(&self, now: TimeMs, table: FeedTable) -> Option<TimeMs> {
        let known = self.known(table);
        if known.state.is_none() {
            return Some(self.first_call_at(now, known));
        }
        let Some((heard_at, reported)) = &self.heard else {
            return Some(now);
        };
        if now.since(*heard_at) > HEARTBEAT_TIMEOUT_MS {
            let spread_ms = self.daemons * SILENCE_SPREAD_MS_PER_DAEMON;
            let turn_ms = spread_ms.min(SILENCE_SPREAD_MAX_MS) * self.turn / TURN_SCALE;
            let silent_since = heard_at.after(HEARTBEAT_TIMEOUT_MS);
            let first_at = silent_since.after(turn_ms);
            return Some(if known.is_unavailable {
                first_at.max(self.probe_at(now, silent_since, known))
            } else {
                first_at
            });
        }
        let behind_call_at = known.behind_since.map(|since| {
            let has_relays = self.daemons > DIRECT_RECEIVERS_MAX as u64;
            since.after(if has_relays {
                RELAYED_CHANGE_WAIT_MS
            } else {
                0
            })
        });
        if reported.is_fresh() || behind_call_at.is_some() && !known.is_unavailable {
            return behind_call_at;
        }
        let stale_since = self.leader_stale_since.unwrap_or(now);
        Some(self.probe_at(now, stale_since, known))
    }

    /// Returns when a daemon that has not read a table yet reads it from the store.
    fn first_call_at(&self, now: TimeMs, known: &KnownTable) -> TimeMs {
        let snapshot_expected = known.behind_since.filter(|_| self.is_leader_fresh(now));
        let waits_until = match snapshot_expected {
            Some(since) => since.after(FIRST_SNAPSHOT_WAIT_MS),
            None => self.first_read_at,
        };
        let after_failure = known.called_at.map(|at| at.after(self.probe_interval_ms()));
        waits_until.max(after_failure.unwrap_or_default())
    }

    /// Returns when this daemon calls the store next while the store does not respond. The daemons
    /// take turns from `since` on.
    fn probe_at(&self, now: TimeMs, since: TimeMs, known: &KnownTable) -> TimeMs {
        let interval_ms = self.probe_interval_ms();
        if interval_ms == 0 {
            return now;
        }
        let first_at = since.after(interval_ms * self.turn / TURN_SCALE);
        let turns_passed = now.since(first_at) / interval_ms;
        let turn_at = first_at.after(turns_passed * interval_ms);
        if known
            .called_at
            .is_some_and(|called_at| called_at >= turn_at)
        {
            turn_at.after(interval_ms)
        } else {
            turn_at
        }
    }

    /// Returns the time between two calls of one daemon while the store does not respond to the
    /// leader, in milliseconds.
    const fn probe_interval_ms(&self) -> u64 {
        if self.daemons <= UNPACED_DAEMONS_MAX {
            0
        } else {
            self.daemons * 1_000 / PROBES_PER_S
        }
    }

    /// Returns whether calls to the store are rationed among the daemons, so that each must be
    /// answered at once. They are not while the leader is silent.
    pub fn is_probing(&self, now: TimeMs) -> bool {
        let is_stale = |(heard_at, reported): &(TimeMs, FeedState)| {
            now.since(*heard_at) <= HEARTBEAT_TIMEOUT_MS && !reported.is_fresh()
        };
        self.probe_interval_ms() > 0 && self.heard.as_ref().is_some_and(is_stale)
    }

    /// Returns whether this daemon lacks a change that the leader has announced.
    pub const fn is_behind(&self, table: FeedTable) -> bool {
        self.known(table).behind_since.is_some()
    }

    /// Returns whether the leader must be asked for a snapshot, because the daemon has just started
    /// or because an announced change has not been read from the store in time.
    pub fn needs_snapshot(&self, now: TimeMs, table: FeedTable) -> bool {
        let known = self.known(table);
        if known.state.is_none() {
            return self.is_leader_fresh(now) || known.is_unavailable;
        }
        let since = known.behind_since;
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
