//! The freshness lease of one daemon.

use super::Safeguard;
use crate::control::Roster;
use balsam_types::timing::LEASE_TTL_MS;
use balsam_types::{Epoch, Incarnation, Round, TimeMs};
use std::collections::BTreeSet;

/// A round of heartbeats whose acknowledgements are being counted.
#[derive(Debug)]
struct OpenRound {
    began_at: TimeMs,
    epoch: Epoch,
    roster: Roster,
    acknowledgements: BTreeSet<Incarnation>,
}

/// The freshness lease of one daemon.
///
/// A lease that was gained at one epoch stays valid when the daemon adopts a newer one: it
/// guarantees that no epoch newer than the confirmed one replaces an owner before the lease
/// expires.
#[derive(Debug)]
pub struct FreshnessLease {
    me: Incarnation,
    until: TimeMs,
    current_round: Round,
    round: Option<OpenRound>,
    without: Option<Safeguard>,
}

impl FreshnessLease {
    /// Creates the state of a daemon that holds no lease.
    pub const fn new(me: Incarnation) -> Self {
        Self {
            me,
            until: TimeMs(0),
            current_round: Round(0),
            round: None,
            without: None,
        }
    }

    /// Disables a safety rule; only for tests.
    #[must_use]
    pub const fn without(mut self, safeguard: Safeguard) -> Self {
        self.without = Some(safeguard);
        self
    }

    /// Returns when the lease expires.
    pub const fn until(&self) -> TimeMs {
        self.until
    }

    /// Returns whether the lease is held at `now`.
    pub fn is_held(&self, now: TimeMs) -> bool {
        self.until > now
    }

    /// Extends the lease after a table read that began at `started_at` and found no newer epoch.
    pub fn table_confirmed(&mut self, now: TimeMs, started_at: TimeMs) {
        self.extend(now, started_at);
    }

    /// Starts a round at `epoch` and returns its number.
    ///
    /// The daemon acknowledges its own round if it is in the roster.
    pub fn begin_round(&mut self, now: TimeMs, epoch: Epoch, roster: &Roster) -> Round {
        let retained = self.retained_acknowledgements(epoch);
        self.current_round = Round(self.current_round.0 + 1);
        self.round = Some(OpenRound {
            began_at: now,
            epoch,
            roster: roster.clone(),
            acknowledgements: retained,
        });
        self.count_acknowledgement(now, self.me);
        self.current_round
    }

    /// Returns the number of the current round.
    pub const fn round(&self) -> Round {
        self.current_round
    }

    /// Counts the acknowledgement of `from`, if it is for the current round and at the round's
    /// epoch.
    pub fn acknowledged(&mut self, now: TimeMs, from: Incarnation, epoch: Epoch, round: Round) {
        let same_round = round == self.current_round || self.without == Some(Safeguard::SameRound);
        let same_epoch = self.round.as_ref().is_some_and(|open| open.epoch == epoch);
        if same_round && same_epoch {
            self.count_acknowledgement(now, from);
        }
    }

    /// Ends the current round, so that later acknowledgements do not count.
    pub fn stop_rounds(&mut self) {
        self.round = None;
    }

    fn retained_acknowledgements(&self, epoch: Epoch) -> BTreeSet<Incarnation> {
        match &self.round {
            Some(open) if self.without == Some(Safeguard::SameRound) && open.epoch == epoch => {
                open.acknowledgements.clone()
            }
            _ => BTreeSet::new(),
        }
    }

    fn count_acknowledgement(&mut self, now: TimeMs, from: Incarnation) {
        let Some(open) = &mut self.round else { return };
        if !open.roster.members.contains(&from) {
            return;
        }
        open.acknowledgements.insert(from);
        if open.roster.is_majority(open.acknowledgements.len()) {
            let began_at = open.began_at;
            self.extend(now, began_at);
        }
    }

    fn extend(&mut self, now: TimeMs, began_at: TimeMs) {
        let dated_from = if self.without == Some(Safeguard::LeaseDatedFromStart) {
            now
        } else {
            began_at
        };
        self.until = self.until.max(dated_from.after(LEASE_TTL_MS));
    }
}
