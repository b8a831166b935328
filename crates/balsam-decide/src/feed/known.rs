//! What a daemon knows of one table.

use super::{StoreClock, StoreResponse, StoreTimeMs, TableReading, TableState};
use balsam_types::{StoreEra, TimeMs};

/// The known versions of a table, and what shows how old they are.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct KnownTable {
    /// The known versions, once the table was read.
    state: Option<TableState>,
    /// The last time of the store's clock at which the store is known to have stood at these
    /// versions.
    read_at: Option<StoreTimeMs>,
    /// When the table was first known.
    adopted_at: TimeMs,
    /// The newest reading of another daemon.
    peer_reading: Option<TableReading>,
    /// The newest change that another daemon has announced.
    announced: u64,
    /// Since when this daemon lacks an announced change.
    behind_since: Option<TimeMs>,
    /// Whether the store has responded since the last broadcast.
    has_unsent_reading: bool,
    /// When the store last responded, unless a call has failed since then.
    response_at: Option<TimeMs>,
    /// When a call last ended, with or without a response.
    called_at: Option<TimeMs>,
    /// When a call failed, if the store has not responded to this daemon since.
    failed_at: Option<TimeMs>,
    /// Whether a call has failed, and the store is not known to have responded to any daemon since.
    is_unavailable: bool,
}

impl KnownTable {
    pub(super) const fn state(&self) -> Option<TableState> {
        self.state
    }

    pub(super) const fn behind_since(&self) -> Option<TimeMs> {
        self.behind_since
    }

    pub(super) const fn response_at(&self) -> Option<TimeMs> {
        self.response_at
    }

    pub(super) const fn called_at(&self) -> Option<TimeMs> {
        self.called_at
    }

    pub(super) const fn has_unsent_reading(&self) -> bool {
        self.has_unsent_reading
    }

    /// Records that what is known of the table is broadcast.
    pub(super) const fn mark_reading_sent(&mut self) {
        self.has_unsent_reading = false;
    }

    pub(super) const fn is_unavailable(&self) -> bool {
        self.is_unavailable
    }

    /// Returns when a call failed, if nothing newer than that is known of the table.
    pub(super) fn failed_at(&self, now: TimeMs, clock: &StoreClock) -> Option<TimeMs> {
        let proved_at = self.proved_at(now, clock);
        self.failed_at.filter(|at| *at >= proved_at)
    }

    /// Returns the known versions with the time at which the store held them.
    pub(super) fn reading(&self) -> Option<TableReading> {
        Some(TableReading {
            state: self.state?,
            read_at: self.read_at?,
        })
    }

    /// Returns how long ago the store stood at the known versions, in milliseconds.
    pub(super) fn age_ms(&self, now: TimeMs, clock: &StoreClock) -> Option<u64> {
        clock.age_ms(now, self.read_at?)
    }

    /// Returns the age of the newest reading of another daemon, in milliseconds.
    pub(super) fn peer_reading_age_ms(&self, now: TimeMs, clock: &StoreClock) -> Option<u64> {
        clock.age_ms(now, self.peer_reading?.read_at)
    }

    /// Returns when the store stood at the known versions, on this daemon's clock. A table that
    /// nothing has confirmed yet counts from its arrival.
    pub(super) fn proved_at(&self, now: TimeMs, clock: &StoreClock) -> TimeMs {
        let age_ms = self.age_ms(now, clock);
        age_ms.map_or(self.adopted_at, |age_ms| now.before(age_ms))
    }

    /// Records a response of the store. Returns whether the store was unavailable until now.
    pub(super) fn record_response(
        &mut self,
        now: TimeMs,
        clock: &StoreClock,
        response: StoreResponse,
    ) -> bool {
        let was_unavailable = std::mem::take(&mut self.is_unavailable);
        self.failed_at = None;
        self.has_unsent_reading = true;
        self.response_at = Some(now);
        self.called_at = Some(now);
        if self.state.is_none() {
            self.adopted_at = now;
        }
        if self.is_later_era(response.version) {
            self.read_at = None;
        }
        let state = self.state.get_or_insert_default();
        if response.has_changes {
            state.changed = state.changed.max(response.version);
        }
        state.seen = state.seen.max(response.version);
        // A time that the store's clock has not reached is from before its restart.
        let read_at = self.read_at.filter(|at| clock.age_ms(now, *at).is_some());
        self.read_at = read_at.max(Some(response.store_now));
        self.update_lag(now);
        was_unavailable
    }

    pub(super) const fn record_failure(&mut self, now: TimeMs) {
        self.response_at = None;
        self.called_at = Some(now);
        self.failed_at = Some(now);
        self.is_unavailable = true;
    }

    /// Adopts a newer version of the table that another daemon has sent.
    pub(super) fn adopt(&mut self, now: TimeMs, version: u64) {
        if self.state.is_none() || self.is_later_era(version) {
            self.adopted_at = now;
            self.read_at = None;
        }
        self.state = Some(TableState {
            changed: version,
            seen: version,
        });
        self.update_lag(now);
    }

    /// Records that a change exists. Announcements may arrive in any order.
    pub(super) fn record_announced(&mut self, now: TimeMs, changed: u64) {
        self.announced = self.announced.max(changed);
        self.update_lag(now);
    }

    /// Records what another daemon has read.
    pub(super) fn record_peer_reading(
        &mut self,
        now: TimeMs,
        clock: &StoreClock,
        peer_reading: TableReading,
    ) {
        let Some(age_ms) = clock.age_ms(now, peer_reading.read_at) else {
            return self.record_announced(now, peer_reading.state.changed);
        };
        let known = self
            .peer_reading
            .filter(|known| clock.age_ms(now, known.read_at).is_some());
        let order = |reading: &TableReading| (StoreEra::of(reading.state.seen), reading.read_at);
        if known.is_none_or(|known| order(&known) < order(&peer_reading)) {
            self.peer_reading = Some(peer_reading);
        }
        // If the store responds to others, it is not unavailable; only this daemon cannot reach it.
        let read_at = now.before(age_ms);
        self.is_unavailable &= self.failed_at.is_some_and(|at| read_at <= at);
        self.record_announced(now, peer_reading.state.changed);
    }

    /// Returns whether the store was restored after the known versions and before this one. Its clock
    /// may have gone back as well.
    fn is_later_era(&self, version: u64) -> bool {
        let known = self.state.map(|state| StoreEra::of(state.seen));
        known.is_some_and(|known| known < StoreEra::of(version))
    }

    /// Returns whether the announced change is of a later era than the known versions, so that the
    /// whole table is needed.
    pub(super) fn is_restored(&self) -> bool {
        self.is_later_era(self.announced)
    }

    /// Compares the known versions with those that others know, and notes since when they are
    /// behind.
    fn update_lag(&mut self, now: TimeMs) {
        // The sender of the newest reading knew of no change after its last one, so a daemon that has
        // this change is as up to date.
        if let (Some(state), Some(peer_reading)) = (&mut self.state, self.peer_reading)
            && state.seen >= peer_reading.state.changed
        {
            state.seen = state.seen.max(peer_reading.state.seen);
            self.read_at = self.read_at.max(Some(peer_reading.read_at));
        }
        if self.state.is_some_and(|state| state.seen >= self.announced) {
            self.behind_since = None;
        } else {
            self.behind_since.get_or_insert(now);
        }
    }
}
