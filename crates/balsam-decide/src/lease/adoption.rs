//! Which epoch a majority has adopted, and which leases have expired since then.

use super::Safeguard;
use crate::control::{ControlState, Roster};
use balsam_types::timing::LEASE_EXPIRY_WAIT_MS;
use balsam_types::{Epoch, Incarnation, TimeMs};
use std::collections::VecDeque;

/// The epochs that a majority of each open roster has adopted, and when this daemon learned of it.
///
/// A daemon adopts an epoch when it applies the change that is committed as that epoch. Majorities
/// of daemons that have adopted an epoch no longer renew leases of older epochs, so these leases
/// have expired after a fixed wait.
#[derive(Debug, Default)]
pub struct AdoptionTracker {
    /// Newest last; the front is the newest entry whose wait has ended, if there is one.
    adoptions: VecDeque<(Epoch, TimeMs)>,
    without: Option<Safeguard>,
}

impl AdoptionTracker {
    /// Creates a tracker without any adopted epoch.
    pub fn new() -> Self {
        Self::default()
    }

    /// Disables a safety rule; only for tests.
    #[must_use]
    pub const fn without(mut self, safeguard: Safeguard) -> Self {
        self.without = Some(safeguard);
        self
    }

    /// Evaluates the peers' epochs; returns whether a majority has adopted a newer epoch.
    ///
    /// The result never exceeds the state's own epoch, because the rosters of later epochs are not
    /// known yet.
    pub fn observe(
        &mut self,
        now: TimeMs,
        state: &ControlState,
        epoch_of: impl Fn(&Incarnation) -> Epoch,
    ) -> bool {
        self.prune(now);
        let skipped = match self.without {
            Some(Safeguard::MajorityAdoption) => state.open_rosters.len(),
            Some(Safeguard::EveryOpenRoster) => state.open_rosters.len().saturating_sub(1),
            _ => 0,
        };
        let rosters = state.open_rosters.iter().skip(skipped);
        let adopted = rosters
            .map(|roster| majority_epoch(state, roster, &epoch_of))
            .fold(state.epoch, Epoch::min);
        if adopted <= self.adopted() {
            return false;
        }
        self.adoptions.push_back((adopted, now));
        true
    }

    /// Returns the newest epoch that a majority of each open roster is known to have adopted.
    pub fn adopted(&self) -> Epoch {
        self.adoptions.back().map_or(Epoch(0), |(epoch, _)| *epoch)
    }

    /// Returns the newest epoch for which every lease of an older epoch has expired.
    pub fn lapsed(&self, now: TimeMs) -> Epoch {
        let has_waited = |(_, at): &&(Epoch, TimeMs)| now.since(*at) >= self.wait_ms();
        self.adoptions
            .iter()
            .rev()
            .find(has_waited)
            .map_or(Epoch(0), |(epoch, _)| *epoch)
    }

    const fn wait_ms(&self) -> u64 {
        match self.without {
            Some(Safeguard::LapseWait) => 0,
            _ => LEASE_EXPIRY_WAIT_MS,
        }
    }

    fn prune(&mut self, now: TimeMs) {
        while let Some((_, at)) = self.adoptions.get(1) {
            if now.since(*at) < self.wait_ms() {
                return;
            }
            self.adoptions.pop_front();
        }
    }
}

/// Returns the newest epoch that a majority of `roster` has adopted.
///
/// A departed daemon acknowledges no more rounds, so it counts as having adopted every epoch.
fn majority_epoch(
    state: &ControlState,
    roster: &Roster,
    epoch_of: impl Fn(&Incarnation) -> Epoch,
) -> Epoch {
    let adopted = |member: &Incarnation| {
        if state.departed.contains(member) {
            return state.epoch;
        }
        epoch_of(member)
    };
    let mut epochs: Vec<Epoch> = roster.members.iter().map(adopted).collect();
    epochs.sort_unstable_by(|a, b| b.cmp(a));
    epochs.get(epochs.len() / 2).copied().unwrap_or(state.epoch)
}
