//! The right of one daemon.

use super::Safeguard;
use crate::control::Roster;
use balsam_types::timing::LEASE_TTL_MS;
use balsam_types::{Epoch, Incarnation, Round, TimeMs};
use std::collections::BTreeSet;

/// A round of pulses that statements are counted for.
#[derive(Debug)]
struct OpenRound {
    began_at: TimeMs,
    epoch: Epoch,
    roster: Roster,
    statements: BTreeSet<Incarnation>,
}

/// The freshness right of one daemon.
///
/// A right that was gained at one epoch stays valid when the daemon adopts a newer one: it says that
/// no epoch newer than the confirmed one replaces an owner before the right ends.
#[derive(Debug)]
pub struct FreshnessLease {
    me: Incarnation,
    until: TimeMs,
    number: Round,
    round: Option<OpenRound>,
    without: Option<Safeguard>,
}

impl FreshnessLease {
    /// Makes the state of a daemon that holds no right.
    pub const fn new(me: Incarnation) -> Self {
        Self {
            me,
            until: TimeMs(0),
            number: Round(0),
            round: None,
            without: None,
        }
    }

    /// Removes a safety rule; only for tests.
    #[must_use]
    pub const fn without(mut self, safeguard: Safeguard) -> Self {
        self.without = Some(safeguard);
        self
    }

    /// Returns when the right ends.
    pub const fn until(&self) -> TimeMs {
        self.until
    }

    /// Returns whether the right is held at `now`.
    pub fn is_held(&self, now: TimeMs) -> bool {
        self.until > now
    }

    /// Takes note that a table read, which began at `started_at`, found no newer epoch.
    pub fn table_confirmed(&mut self, now: TimeMs, started_at: TimeMs) {
        self.extend(now, started_at);
    }

    /// Begins a round at `epoch` and returns its number.
    ///
    /// The daemon's own statement counts if it is in the roster.
    pub fn begin_round(&mut self, now: TimeMs, epoch: Epoch, roster: &Roster) -> Round {
        let kept = self.kept_statements(epoch);
        self.number = Round(self.number.0 + 1);
        self.round = Some(OpenRound {
            began_at: now,
            epoch,
            roster: roster.clone(),
            statements: kept,
        });
        self.count(now, self.me);
        self.number
    }

    /// Returns the number of the current round.
    pub const fn round(&self) -> Round {
        self.number
    }

    /// Counts the statement of `from`, if it answers the current round at the round's epoch.
    pub fn acknowledged(&mut self, now: TimeMs, from: Incarnation, epoch: Epoch, round: Round) {
        let same_round = round == self.number || self.without == Some(Safeguard::SameRound);
        let same_epoch = self.round.as_ref().is_some_and(|open| open.epoch == epoch);
        if same_round && same_epoch {
            self.count(now, from);
        }
    }

    /// Ends the current round, so that later statements do not count.
    pub fn stop_rounds(&mut self) {
        self.round = None;
    }

    fn kept_statements(&self, epoch: Epoch) -> BTreeSet<Incarnation> {
        match &self.round {
            Some(open) if self.without == Some(Safeguard::SameRound) && open.epoch == epoch => {
                open.statements.clone()
            }
            _ => BTreeSet::new(),
        }
    }

    fn count(&mut self, now: TimeMs, from: Incarnation) {
        let Some(open) = &mut self.round else { return };
        if !open.roster.members.contains(&from) {
            return;
        }
        open.statements.insert(from);
        if open.roster.is_majority(open.statements.len()) {
            let began_at = open.began_at;
            self.extend(now, began_at);
        }
    }

    fn extend(&mut self, now: TimeMs, began_at: TimeMs) {
        let dated = if self.without == Some(Safeguard::LeaseDatedFromStart) {
            now
        } else {
            began_at
        };
        self.until = self.until.max(dated.after(LEASE_TTL_MS));
    }
}
