//! What a new era of the store changes for the leader and for the daemons that may replace it.
//!
//! A restored store has lost rows that leaders had committed, and upstreams may hold keys by them.
//! See [the design note](../../../../docs/design/store-era.md).

use super::RowVersion;
use super::assigner::{Assigner, FollowedLeader, Lead};
use super::service::ServiceState;
use balsam_types::{FencingToken, StoreEra, TimeMs};

/// Which grants a leader may give while grants of lost assignments may be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RestoredTerm {
    /// Ranges that are not moving are renewed if their token is lower than this.
    pub(super) renewable_below: FencingToken,
}

/// A term as leader that the restoration of the store has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedTerm {
    /// When the store last confirmed this daemon as the leader.
    confirmed_at: TimeMs,
    /// Assignments with a lower token were in force.
    renewable_below: FencingToken,
    /// Until when no other leader gives grants because of the restoration.
    expires_at: TimeMs,
}

/// The era of the store, and what this daemon did before it began.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EraState {
    pub(super) current: StoreEra,
    /// Whether the deployment starts for the first time.
    pub(super) is_first_start: bool,
    /// Whether this daemon knows of an earlier era of the store.
    pub(super) has_changed: bool,
    /// The term as leader that this era or one shortly before has ended, while this daemon knows all
    /// keys that may be held.
    pub(super) ended_term: Option<EndedTerm>,
}

impl Assigner {
    /// Adopts a later era of the store. A leader must be elected again, because its row and the rows
    /// of assignments may have gone back.
    pub(super) fn enter_era(&mut self, now: TimeMs, era: StoreEra) {
        if era <= self.era.current {
            return;
        }
        let has_rows = |state: &ServiceState| !state.stored().version.is_absent();
        self.era.has_changed |=
            !matches!(self.lead, Lead::Unread) || self.services.values().any(has_rows);
        let known_for_ms = self.timing.expiry_after_stop_ms(self.timing.hold_ms);
        let ended_term = self.ending_term(now).or(self.era.ended_term);
        self.era.ended_term = ended_term.filter(|term| now.since(term.confirmed_at) < known_for_ms);
        self.era.current = era;
        for state in self.services.values_mut() {
            state.enter_era(era);
        }
        if self.is_leading() {
            self.lead = Lead::Unread;
            self.followed = FollowedLeader::default();
            self.reload_at = Some(now);
        }
    }

    /// Returns the present term as leader.
    ///
    /// This daemon knows all keys that may be held if the term was confirmed a short time before the
    /// store was restored. A leader that was elected in the lost time gives away keys of an owner
    /// that has not released them only after this daemon's lease and the last grant under it have
    /// ended, and it sends its last order one lease after the restoration. So it cannot have done so
    /// if the confirmation was more recent than the time that the last grant takes.
    fn ending_term(&self, now: TimeMs) -> Option<EndedTerm> {
        let Lead::Mine {
            confirmed_at,
            has_loaded_rows: true,
            ..
        } = self.lead
        else {
            return None;
        };
        let restored = self.restored_term(now);
        Some(EndedTerm {
            expires_at: now.after(self.timing.expiry_after_takeover_ms(self.timing.hold_ms)),
            confirmed_at,
            renewable_below: restored.map_or(FencingToken(u64::MAX), |term| term.renewable_below),
        })
    }

    /// Returns which grants this daemon may give as leader, if it may not give all.
    pub(super) fn restored_term(&self, now: TimeMs) -> Option<RestoredTerm> {
        match self.lead {
            Lead::Mine { restored, .. } if now < self.inherited_grants_until() => restored,
            _ => None,
        }
    }

    /// Returns the restrictions of a term that begins with the rows that were read, or `None` if an
    /// earlier leader of this era has waited until all grants of earlier eras had expired, which the
    /// rows tell.
    ///
    /// A leader that did not lead when the era began does not know which grants are in force, and
    /// may give none.
    pub(super) fn restrictions(&self, now: TimeMs) -> Option<RestoredTerm> {
        let era = self.era.current;
        let mut ranges = self.services.values().map(|state| &state.stored().ranges);
        if self.may_be_new() && ranges.all(|ranges| ranges.assignments.is_empty()) {
            return None;
        }
        let mut stored = self.services.values().map(ServiceState::stored);
        if era == StoreEra(0)
            || stored.any(|stored| StoreEra::of(stored.ranges.settled_lead) == era)
        {
            return None;
        }
        let ended_term = self.era.ended_term.filter(|term| now < term.expires_at);
        let renewable_below = ended_term.map_or(FencingToken(0), |term| term.renewable_below);
        Some(RestoredTerm {
            renewable_below: renewable_below.min(era.first_fence()),
        })
    }

    /// Returns whether this daemon has led until the store was restored and should lead again, because
    /// no other daemon may renew the grants that are in force.
    pub(super) fn should_lead_again(&self, now: TimeMs) -> bool {
        let ended_term = self.era.ended_term;
        ended_term.is_some_and(|term| now < term.expires_at)
    }

    /// Returns whether a missing leader row shows that there has never been a leader.
    pub(super) const fn is_first_leader(&self, version: RowVersion) -> bool {
        version.is_absent() && self.may_be_new()
    }

    /// Returns whether rows that are missing may never have existed. In a later era they may have been
    /// lost, which a daemon that has just started cannot tell.
    const fn may_be_new(&self) -> bool {
        let may_be_new = match self.era.current {
            StoreEra(0) => true,
            StoreEra(1) => self.era.is_first_start,
            StoreEra(_) => false,
        };
        may_be_new && !self.era.has_changed
    }
}
