//! What a daemon knows of its peers.

use crate::control::ControlState;
use balsam_types::timing::SUSPECT_AFTER_MS;
use balsam_types::{Epoch, Incarnation, Set, TimeMs};
use std::collections::BTreeMap;

/// The silence after which a peer's upstreams are probed on its behalf, in milliseconds.
///
/// It spans one lost pulse. Probing before the suspicion lets the loss of an upstream together with
/// its dispatcher be noticed within the time budget of one loss.
pub const LATE_MS: u64 = 400;

#[derive(Debug)]
struct Peer {
    epoch: Epoch,
    heard_at: Option<TimeMs>,
    /// When the silence began to count.
    watched_since: TimeMs,
    replaced: bool,
    leaving: bool,
}

/// The peers of one daemon: the daemons of all open rosters.
#[derive(Debug)]
pub struct Membership {
    me: Incarnation,
    peers: BTreeMap<Incarnation, Peer>,
}

impl Membership {
    /// Makes the state of a daemon that knows no peers.
    pub const fn new(me: Incarnation) -> Self {
        Self {
            me,
            peers: BTreeMap::new(),
        }
    }

    /// Follows the open rosters of `state`.
    pub fn follow(&mut self, now: TimeMs, state: &ControlState) {
        let listed = |incarnation: &Incarnation| {
            let mut rosters = state.open_rosters.iter();
            rosters.any(|roster| roster.members.contains(incarnation))
        };
        self.peers.retain(|incarnation, _| listed(incarnation));
        let members = state.open_rosters.iter().flat_map(|roster| &roster.members);
        for member in members.filter(|member| **member != self.me) {
            self.peers.entry(*member).or_insert(Peer {
                epoch: Epoch(0),
                heard_at: None,
                watched_since: now,
                replaced: false,
                leaving: false,
            });
        }
    }

    /// Takes note of a message from a peer; returns whether its epoch is newer than known.
    pub fn heard(&mut self, now: TimeMs, from: Incarnation, epoch: Epoch) -> bool {
        let newer = self.learn_epoch(from, epoch);
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.heard_at = Some(now);
            peer.replaced = false;
        }
        newer
    }

    /// Takes note of a peer's epoch from a message that may have been delayed.
    ///
    /// Returns whether the epoch is newer than known.
    pub fn learn_epoch(&mut self, from: Incarnation, epoch: Epoch) -> bool {
        let Some(peer) = self.peers.get_mut(&from) else {
            return false;
        };
        let newer = epoch > peer.epoch;
        peer.epoch = peer.epoch.max(epoch);
        newer
    }

    /// Takes note of whether a peer is stopping in order.
    pub fn set_leaving(&mut self, from: Incarnation, leaving: bool) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.leaving = leaving;
        }
    }

    /// Takes note that another incarnation answers in place of `incarnation`.
    ///
    /// The peer is suspected at once. Only the join of the new incarnation replaces it,
    /// because a delayed answer of an earlier incarnation looks the same from outside.
    pub fn set_replaced(&mut self, incarnation: Incarnation) {
        if let Some(peer) = self.peers.get_mut(&incarnation) {
            peer.replaced = true;
        }
    }

    /// Counts every silence anew, after a pause of this daemon itself.
    pub fn resume(&mut self, now: TimeMs) {
        for peer in self.peers.values_mut() {
            peer.watched_since = now;
        }
    }

    /// Returns how long a peer has been silent, in milliseconds; zero for this daemon itself.
    pub fn silence_ms(&self, now: TimeMs, incarnation: &Incarnation) -> u64 {
        let Some(peer) = self.peers.get(incarnation) else {
            return 0;
        };
        let heard_at = peer.heard_at.unwrap_or(peer.watched_since);
        now.since(heard_at.max(peer.watched_since))
    }

    /// Returns the time since the last exchange with a peer; `None` before the first.
    pub fn last_exchange_ms(&self, now: TimeMs, incarnation: &Incarnation) -> Option<u64> {
        let heard_at = self.peers.get(incarnation)?.heard_at?;
        Some(now.since(heard_at))
    }

    /// Returns whether a peer is suspected.
    pub fn is_suspected(&self, now: TimeMs, incarnation: &Incarnation) -> bool {
        let replaced = self
            .peers
            .get(incarnation)
            .is_some_and(|peer| peer.replaced);
        replaced || self.silence_ms(now, incarnation) >= SUSPECT_AFTER_MS
    }

    /// Returns whether a peer is stopping in order.
    pub fn is_leaving(&self, incarnation: &Incarnation) -> bool {
        self.peers.get(incarnation).is_some_and(|peer| peer.leaving)
    }

    /// Returns the daemons of the current roster that are suspected.
    pub fn suspected(&self, now: TimeMs, state: &ControlState) -> Set<Incarnation> {
        let daemons = state.daemons.keys();
        daemons
            .filter(|incarnation| self.is_suspected(now, incarnation))
            .copied()
            .collect()
    }

    /// Returns the daemons of the current roster that are suspected or late with their pulses.
    pub fn late(&self, now: TimeMs, state: &ControlState) -> Set<Incarnation> {
        let is_late = |incarnation: &&Incarnation| {
            self.is_suspected(now, incarnation) || self.silence_ms(now, incarnation) >= LATE_MS
        };
        state.daemons.keys().filter(is_late).copied().collect()
    }

    /// Returns the adopted epoch of a peer as far as known.
    pub fn epoch_of(&self, incarnation: &Incarnation) -> Epoch {
        self.peers
            .get(incarnation)
            .map_or(Epoch(0), |peer| peer.epoch)
    }
}
