//! What a daemon knows of its peers.

use crate::control::ControlState;
use balsam_types::timing::SUSPECT_AFTER_MS;
use balsam_types::{Epoch, Incarnation, Set, TimeMs};
use std::collections::BTreeMap;

/// The silence of a peer after which other daemons probe its upstreams, in milliseconds.
///
/// It tolerates one lost heartbeat. Probing starts before the peer is suspected, so that the loss
/// of an upstream together with its dispatcher is detected within the time budget of a single loss.
pub const LATE_MS: u64 = 400;

#[derive(Debug)]
struct Peer {
    epoch: Epoch,
    heard_at: Option<TimeMs>,
    /// When this daemon started to measure the peer's silence.
    silence_since: TimeMs,
    replaced: bool,
    leaving: bool,
}

/// The peers of one daemon: the members of all open rosters.
#[derive(Debug)]
pub struct Membership {
    me: Incarnation,
    peers: BTreeMap<Incarnation, Peer>,
}

impl Membership {
    /// Creates the state of a daemon that knows no peers.
    pub const fn new(me: Incarnation) -> Self {
        Self {
            me,
            peers: BTreeMap::new(),
        }
    }

    /// Updates the peers to the members of the open rosters of `state`.
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
                silence_since: now,
                replaced: false,
                leaving: false,
            });
        }
    }

    /// Records a message from a peer; returns whether its epoch is newer than the one known so far.
    pub fn heard(&mut self, now: TimeMs, from: Incarnation, epoch: Epoch) -> bool {
        let newer = self.learn_epoch(from, epoch);
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.heard_at = Some(now);
            peer.replaced = false;
        }
        newer
    }

    /// Records a peer's epoch from a message that may have been delayed and so does not show that
    /// the peer is alive.
    ///
    /// Returns whether the epoch is newer than the one known so far.
    pub fn learn_epoch(&mut self, from: Incarnation, epoch: Epoch) -> bool {
        let Some(peer) = self.peers.get_mut(&from) else {
            return false;
        };
        let newer = epoch > peer.epoch;
        peer.epoch = peer.epoch.max(epoch);
        newer
    }

    /// Records whether a peer is shutting down gracefully.
    pub fn set_leaving(&mut self, from: Incarnation, leaving: bool) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.leaving = leaving;
        }
    }

    /// Records that another incarnation answers at the address of `incarnation`.
    ///
    /// The peer is suspected at once, but stays in the roster until the new incarnation joins,
    /// because a delayed answer of an earlier incarnation cannot be told from that of a newer one.
    pub fn set_replaced(&mut self, incarnation: Incarnation) {
        if let Some(peer) = self.peers.get_mut(&incarnation) {
            peer.replaced = true;
        }
    }

    /// Restarts the measurement of every silence after a pause of this process.
    pub fn resume(&mut self, now: TimeMs) {
        for peer in self.peers.values_mut() {
            peer.silence_since = now;
        }
    }

    /// Returns how long a peer has been silent, in milliseconds; zero for this daemon itself.
    pub fn silence_ms(&self, now: TimeMs, incarnation: &Incarnation) -> u64 {
        let Some(peer) = self.peers.get(incarnation) else {
            return 0;
        };
        let heard_at = peer.heard_at.unwrap_or(peer.silence_since);
        now.since(heard_at.max(peer.silence_since))
    }

    /// Returns the time since the last message from a peer, in milliseconds; `None` before the
    /// first.
    pub fn last_exchange_ms(&self, now: TimeMs, incarnation: &Incarnation) -> Option<u64> {
        let heard_at = self.peers.get(incarnation)?.heard_at?;
        Some(now.since(heard_at))
    }

    /// Returns whether a peer is suspected to have failed.
    pub fn is_suspected(&self, now: TimeMs, incarnation: &Incarnation) -> bool {
        let replaced = self
            .peers
            .get(incarnation)
            .is_some_and(|peer| peer.replaced);
        replaced || self.silence_ms(now, incarnation) >= SUSPECT_AFTER_MS
    }

    /// Returns whether a peer is shutting down gracefully.
    pub fn is_leaving(&self, incarnation: &Incarnation) -> bool {
        self.peers.get(incarnation).is_some_and(|peer| peer.leaving)
    }

    /// Returns the daemons of the current roster that are suspected to have failed.
    pub fn suspected(&self, now: TimeMs, state: &ControlState) -> Set<Incarnation> {
        let daemons = state.daemons.keys();
        daemons
            .filter(|incarnation| self.is_suspected(now, incarnation))
            .copied()
            .collect()
    }

    /// Returns the daemons of the current roster that are suspected or whose heartbeats are late.
    pub fn late(&self, now: TimeMs, state: &ControlState) -> Set<Incarnation> {
        let is_late = |incarnation: &&Incarnation| {
            self.is_suspected(now, incarnation) || self.silence_ms(now, incarnation) >= LATE_MS
        };
        state.daemons.keys().filter(is_late).copied().collect()
    }

    /// Returns the newest epoch that a peer is known to have adopted.
    pub fn epoch_of(&self, incarnation: &Incarnation) -> Epoch {
        self.peers
            .get(incarnation)
            .map_or(Epoch(0), |peer| peer.epoch)
    }
}
