//! Chooses the source of the changes of each table, and shows how old the tables are.

use super::known::KnownTable;
use super::{
    FeedReading, FeedSource, FeedState, FeedTable, FeedTiming, StoreClock, StoreResponse,
    StoreTimeMs,
};
use crate::peers::DIRECT_RECEIVERS_MAX;
use balsam_types::{StoreEra, TimeMs};

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
/// milliseconds. Daemons that read the store in place of the leader do so more often.
const STORE_REACHABLE_MS: u64 = 1_500;

/// How long a daemon tries to read an announced change from the store before it asks the leader for
/// a snapshot, in milliseconds. A store that works responds sooner.
const SNAPSHOT_AFTER_MS: u64 = 600;

/// How long a starting daemon waits for the snapshot of a leader that has announced itself before it
/// reads the table from the store, in milliseconds. A leader that has many snapshots to send leaves
/// requests unanswered.
const FIRST_SNAPSHOT_WAIT_MS: u64 = 500;

/// How many calls per second and table all daemons together make to a store that does not respond
/// to them.
const PROBES_PER_S: u64 = 40;

/// Number of daemons up to which each of them goes on calling a store that does not respond. They
/// make about as many calls as larger deployments in turns.
const UNPACED_DAEMONS_MAX: u64 = 20;

/// How long a daemon of a large deployment waits for an announced change before it reads the store,
/// in milliseconds. Other daemons pass the change on, so that the heartbeat may overtake it.
const RELAYED_CHANGE_WAIT_MS: u64 = 400;

/// How long a daemon waits for the leader's snapshot of a table of a restored store before it reads
/// the table, in milliseconds. The snapshot follows the heartbeat that announces it.
const RESTORED_TABLE_WAIT_MS: u64 = 300;

/// How long a daemon waits for that snapshot before it asks the leader for it, in milliseconds.
const RESTORED_SNAPSHOT_AFTER_MS: u64 = 150;

/// Upper limit on the time between the first and the last daemon that read such a table, in
/// milliseconds. Together with the wait it is shorter than the time for which tables may be used.
const RESTORED_SPREAD_MAX_MS: u64 = 400;

/// Scale of a daemon's turn.
const TURN_SCALE: u64 = 1_000;

/// Number of daemons, the first in turn, that broadcast what they read in place of the leader. Each
/// message goes to every daemon, so few of them must send it.
const FALLBACK_FEEDERS_MAX: u64 = 10;

/// How long a reading of one table waits to be broadcast together with the other table's, in
/// milliseconds. A change is broadcast at once.
const BROADCAST_WAIT_MS: u64 = 250;

/// The time for a call to a store that does not respond, and for the delay before the next one, in
/// milliseconds.
const FAILED_CALL_MS: u64 = 2_500;

/// The age of a table without any response of the store yet, in milliseconds.
const UNKNOWN_AGE_MS: u64 = 3_600_000;

/// Decides where the changes of each table come from.
///
/// A daemon relies on others only while their readings show that its tables are young enough, and
/// while it knows all announced changes. Otherwise it reads the store itself, so that it learns of
/// changes in time whatever has become of the leader and of the messages.
#[derive(Debug, Default)]
pub struct Feed {
    config: KnownTable,
    upstreams: KnownTable,
    clock: StoreClock,
    timing: FeedTiming,
    /// The arrival time and the contents of the leader's last heartbeat.
    heard: Option<(TimeMs, FeedState)>,
    /// Number of daemons in the deployment, or 0 while it is not known.
    daemons: u64,
    /// The place of this daemon among all daemons that call the store one after the other, from 0
    /// to `TURN_SCALE`.
    turn: u64,
    /// Until when a starting daemon waits to hear from a leader.
    first_read_at: TimeMs,
    /// When this daemon broadcasts what it has read, if the store has responded since it last did.
    broadcast_at: Option<TimeMs>,
    /// Whether the last response arrived while no other daemon broadcast what the store holds.
    is_fallback_feeder: bool,
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

    /// Sets how old the tables may become.
    #[must_use]
    pub const fn with_timing(mut self, timing: FeedTiming) -> Self {
        self.timing = timing;
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

    /// Records a time of the store's clock that it had not passed when a response to a question of
    /// `asked_at` was sent.
    pub fn record_clock(&mut self, now: TimeMs, asked_at: TimeMs, store_now: StoreTimeMs) {
        self.clock.record(now, asked_at, store_now);
    }

    /// Returns whether the daemon should ask the leader for the time of the store's clock, and
    /// records that it does.
    pub fn take_clock_request(&mut self, now: TimeMs) -> bool {
        self.clock.take_request(now)
    }

    /// Returns the latest time that the store's clock can show, if it is known.
    pub fn store_now(&self, now: TimeMs) -> Option<StoreTimeMs> {
        self.clock.latest(now)
    }

    /// Records a response of the store.
    ///
    /// Returns whether the store was unavailable until now, as far as this daemon knows.
    pub fn record_response(
        &mut self,
        now: TimeMs,
        table: FeedTable,
        response: StoreResponse,
    ) -> bool {
        self.clock
            .record(now, response.asked_at, response.store_now);
        let peer_reading_age_ms = self.known(table).peer_reading_age_ms(now, &self.clock);
        self.is_fallback_feeder =
            peer_reading_age_ms.is_none_or(|age_ms| age_ms > self.timing.first_read_age_ms());
        let clock = self.clock;
        let was_unavailable = self.known_mut(table).record_response(now, &clock, response);
        let has_both = self.config.has_unsent_reading() && self.upstreams.has_unsent_reading();
        let broadcast_at = if response.has_changes || has_both {
            now
        } else {
            now.after(BROADCAST_WAIT_MS)
        };
        self.broadcast_at = Some(
            self.broadcast_at
                .map_or(broadcast_at, |at| at.min(broadcast_at)),
        );
        was_unavailable
    }

    /// Records that a call to the store has failed.
    pub const fn record_failure(&mut self, now: TimeMs, table: FeedTable) {
        self.known_mut(table).record_failure(now);
    }

    /// Records that another daemon has sent the changes after `base` and up to `version`.
    ///
    /// Returns whether they are new and follow the known changes without a gap; otherwise nothing
    /// is recorded, and the caller must ignore them.
    pub fn accept_delta(&mut self, now: TimeMs, table: FeedTable, base: u64, version: u64) -> bool {
        let is_contiguous = self
            .seen(table)
            .is_some_and(|seen| base <= seen && StoreEra::of(seen) == StoreEra::of(version));
        is_contiguous && self.accept_snapshot(now, table, version)
    }

    /// Records that another daemon has sent a snapshot of the whole table at `version`.
    ///
    /// Returns whether it is newer than what is known; otherwise the caller must ignore it. A daemon
    /// that knows nothing yet must not start from what a leader knew before an outage, unless the
    /// store does not respond to this daemon either.
    pub fn accept_snapshot(&mut self, now: TimeMs, table: FeedTable, version: u64) -> bool {
        let is_new = match self.seen(table) {
            Some(seen) => seen < version,
            None => self.is_leader_fresh(now) || self.known(table).is_unavailable(),
        };
        if is_new {
            self.known_mut(table).adopt(now, version);
        }
        is_new
    }

    /// Records a heartbeat of the leader.
    ///
    /// It shows that changes exist. It does not show that there are no others, because it may have
    /// waited on its way.
    pub fn heard(&mut self, now: TimeMs, reported: FeedState) {
        self.heard = Some((now, reported));
        for table in FeedTable::ALL {
            let changed = reported.of(table).changed;
            self.known_mut(table).record_announced(now, changed);
        }
    }

    /// Records what another daemon has read from the store.
    pub fn record_peer_reading(&mut self, now: TimeMs, reading: FeedReading) {
        let clock = self.clock;
        for table in FeedTable::ALL {
            let peer_reading = reading.of(table);
            self.known_mut(table)
                .record_peer_reading(now, &clock, peer_reading);
        }
    }

    /// Returns what this daemon broadcasts to the others, if that is due.
    ///
    /// The leader does so regularly. While it does not, the first daemons in turn read the store
    /// and broadcast in its place.
    pub fn take_broadcast(&mut self, now: TimeMs, is_leading: bool) -> Option<FeedReading> {
        let is_due =
            self.broadcast_at.is_some_and(|at| at <= now) && self.broadcasts_changes(is_leading);
        let reading = self.reading().filter(|_| is_due)?;
        self.broadcast_at = None;
        for table in FeedTable::ALL {
            self.known_mut(table).mark_reading_sent();
        }
        Some(reading)
    }

    /// Returns what this daemon knows of the tables, once it is known when the store held it.
    pub fn reading(&self) -> Option<FeedReading> {
        Some(FeedReading {
            config: self.config.reading()?,
            upstreams: self.upstreams.reading()?,
        })
    }

    /// Returns whether this daemon broadcasts what it reads from the store.
    pub const fn broadcasts_changes(&self, is_leading: bool) -> bool {
        let place = self.turn * self.daemons / TURN_SCALE;
        let is_first = self.daemons > UNPACED_DAEMONS_MAX && place < FALLBACK_FEEDERS_MAX;
        is_leading || is_first && self.is_fallback_feeder
    }

    /// Returns the version up to which a table is known, or `None` if it was not read yet.
    pub fn seen(&self, table: FeedTable) -> Option<u64> {
        self.known(table).state().map(|state| state.seen)
    }

    /// Returns the state of the tables that this daemon reports if it is the leader.
    pub fn state(&self, now: TimeMs) -> FeedState {
        let state = |known: &KnownTable| known.state().unwrap_or_default();
        FeedState {
            config: state(&self.config),
            upstreams: state(&self.upstreams),
            age_ms: self.response_age_ms(now),
        }
    }

    /// Returns the time since the store's last response for the table whose last response is the
    /// oldest, in milliseconds.
    fn response_age_ms(&self, now: TimeMs) -> u64 {
        let age = |known: &KnownTable| {
            known
                .response_at()
                .map_or(UNKNOWN_AGE_MS, |at| now.since(at))
        };
        age(&self.config).max(age(&self.upstreams))
    }

    /// Returns how long ago the store last stood at the known versions for certain, in
    /// milliseconds, for the table for which that is the longest.
    pub fn staleness_ms(&self, now: TimeMs) -> u64 {
        let ages = [&self.config, &self.upstreams]
            .map(|known| known.age_ms(now, &self.clock).unwrap_or(UNKNOWN_AGE_MS));
        ages[0].max(ages[1])
    }

    /// Returns how long ago the store last stood at the known version of a table for certain, in
    /// milliseconds, if anything shows that.
    pub fn age_ms(&self, now: TimeMs, table: FeedTable) -> Option<u64> {
        self.known(table).age_ms(now, &self.clock)
    }

    /// Returns until when requests may be served from the tables, as far as is known now.
    ///
    /// That is while they are shown to be young enough. A daemon to which the store does not respond
    /// goes on with the tables that it has.
    pub fn serves_until(&self, now: TimeMs) -> TimeMs {
        let until = |known: &KnownTable| {
            let age_ms = known.age_ms(now, &self.clock);
            let proved_until = age_ms.map_or(TimeMs(0), |age_ms| {
                now.after(self.timing.serve_max_age_ms()).before(age_ms)
            });
            let failed_until = known
                .failed_at(now, &self.clock)
                .map(|at| at.after(self.probe_interval_ms() + FAILED_CALL_MS));
            proved_until.max(failed_until.unwrap_or_default())
        };
        until(&self.config).min(until(&self.upstreams))
    }

    /// Returns the time since the leader was last heard of, in milliseconds.
    pub fn leader_silent_ms(&self, now: TimeMs) -> Option<u64> {
        self.heard.map(|(heard_at, _)| now.since(heard_at))
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
        if self.next_call_at(now, table) <= now {
            FeedSource::Store
        } else {
            FeedSource::Leader
        }
    }

    /// Returns when a daemon that is not the leader calls the store for a table next, unless it
    /// learns before that its table is current.
    fn next_call_at(&self, now: TimeMs, table: FeedTable) -> TimeMs {
        let known = self.known(table);
        if known.state().is_none() {
            return self.first_call_at(now, known);
        }
        let proved_at = known.proved_at(now, &self.clock);
        if known.is_unavailable() {
            let probes_from = proved_at.after(self.timing.first_read_age_ms());
            return self.probe_at(now, probes_from, known);
        }
        let turn_at = proved_at.after(self.read_age_ms());
        known.behind_since().map_or(turn_at, |since| {
            let has_relays = self.daemons > DIRECT_RECEIVERS_MAX as u64;
            let wait_ms = if known.is_restored() {
                RESTORED_TABLE_WAIT_MS + self.restored_spread_ms() * self.turn / TURN_SCALE
            } else if has_relays {
                RELAYED_CHANGE_WAIT_MS
            } else {
                0
            };
            turn_at.min(since.after(wait_ms))
        })
    }

    /// Returns how far apart the first and the last daemon read a table of a restored store that the
    /// leader's snapshot has not brought them, in milliseconds.
    const fn restored_spread_ms(&self) -> u64 {
        let spread_ms = self.daemons * 1_000 / PROBES_PER_S;
        if spread_ms < RESTORED_SPREAD_MAX_MS {
            spread_ms
        } else {
            RESTORED_SPREAD_MAX_MS
        }
    }

    /// Returns the age of the tables at which it is this daemon's turn to read the store, in
    /// milliseconds.
    ///
    /// The first daemons are the farthest apart, so that their broadcasts reach the others before
    /// their turn.
    const fn read_age_ms(&self) -> u64 {
        let first_ms = self.timing.first_read_age_ms();
        let spread_ms = self.timing.last_read_age_ms().saturating_sub(first_ms);
        first_ms + spread_ms * (self.turn * TURN_SCALE).isqrt() / TURN_SCALE
    }

    /// Returns when a daemon that has not read a table yet reads it from the store.
    fn first_call_at(&self, now: TimeMs, known: &KnownTable) -> TimeMs {
        let snapshot_expected = known.behind_since().filter(|_| self.is_leader_fresh(now));
        let waits_until = match snapshot_expected {
            Some(since) => since.after(FIRST_SNAPSHOT_WAIT_MS),
            None => self.first_read_at,
        };
        let after_failure = known
            .called_at()
            .map(|at| at.after(self.probe_interval_ms()));
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
            .called_at()
            .is_some_and(|called_at| called_at >= turn_at)
        {
            turn_at.after(interval_ms)
        } else {
            turn_at
        }
    }

    /// Returns the time between two calls of one daemon while the store does not respond, in
    /// milliseconds.
    const fn probe_interval_ms(&self) -> u64 {
        if self.daemons <= UNPACED_DAEMONS_MAX {
            0
        } else {
            self.daemons * 1_000 / PROBES_PER_S
        }
    }

    /// Returns whether calls for a table fail, and the store is not known to have responded to any
    /// daemon since.
    pub const fn is_unavailable(&self, table: FeedTable) -> bool {
        self.known(table).is_unavailable()
    }

    /// Returns whether this daemon lacks a change that another daemon has announced.
    pub const fn is_behind(&self, table: FeedTable) -> bool {
        self.known(table).behind_since().is_some()
    }

    /// Returns whether the leader must be asked for a snapshot, because the daemon has just started
    /// or because an announced change has not been read from the store in time.
    pub fn needs_snapshot(&self, now: TimeMs, table: FeedTable) -> bool {
        let known = self.known(table);
        if known.state().is_none() {
            return self.is_leader_fresh(now) || known.is_unavailable();
        }
        let since = known.behind_since();
        let after_ms = if known.is_restored() {
            RESTORED_SNAPSHOT_AFTER_MS
        } else {
            SNAPSHOT_AFTER_MS
        };
        since.is_some_and(|since| now.since(since) >= after_ms)
    }

    /// Returns whether this daemon should replace the leader, because the store responds to this
    /// daemon and has not responded to the leader for a long time of its term, which this daemon
    /// knows of since `leader_since`.
    ///
    /// A follower seldom calls the store, so a new leader reports an age from before its term until
    /// its first call is answered.
    pub fn should_replace(&self, now: TimeMs, leader_since: TimeMs) -> bool {
        let is_term_long = now.since(leader_since) > REPLACE_LEADER_AFTER_MS;
        let is_unavailable = |(heard_at, reported): &(TimeMs, FeedState)| {
            now.since(*heard_at) <= HEARTBEAT_TIMEOUT_MS
                && reported.age_ms > REPLACE_LEADER_AFTER_MS
        };
        is_term_long
            && self.heard.as_ref().is_some_and(is_unavailable)
            && self.response_age_ms(now) <= STORE_REACHABLE_MS
    }
}
