//! The leader's choice of the daemons that keep the room of upstreams.

use super::{KeeperDaemon, KeeperList};
use balsam_types::{Map, TimeMs, ZoneName, new_map};
use std::net::SocketAddr;

/// How long a daemon is a candidate after it was last heard of, in milliseconds.
const CANDIDATE_TIMEOUT_MS: u64 = 2_500;

/// Part of the daemons of a zone that are keepers, in percent.
const KEEPERS_PERCENT: usize = 25;

/// Limits on the keepers in a zone. With one, its loss leaves the zone without any.
const KEEPERS_MIN: usize = 2;
const KEEPERS_MAX: usize = 16;

/// Interval at which an unchanged list is published again, in milliseconds, for daemons that have
/// missed it.
const PUBLISH_INTERVAL_MS: u64 = 5_000;

/// Minimum interval between two different lists, in milliseconds. Many daemons start or stop at the
/// same moment.
const CHANGE_INTERVAL_MS: u64 = 500;

/// A daemon that can keep the room of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperCandidate {
    /// The daemon.
    pub daemon: KeeperDaemon,
    /// Whether it is about to stop.
    pub is_leaving: bool,
}

/// Chooses the keepers while this daemon is the leader, and knows the newest list otherwise.
#[derive(Debug, Default)]
pub struct KeeperElection {
    candidates: Map<SocketAddr, (TimeMs, KeeperCandidate)>,
    list: KeeperList,
    published_at: TimeMs,
    /// The lead under which this daemon has published, since when, and the keepers that it has taken
    /// over from the leader before.
    term: Option<Term>,
}

#[derive(Debug)]
struct Term {
    lead: u64,
    since: TimeMs,
    inherited: Vec<KeeperDaemon>,
}

impl KeeperElection {
    /// Creates an election without candidates.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the newest list.
    pub const fn list(&self) -> &KeeperList {
        &self.list
    }

    /// Records that a daemon can be a keeper. Returns whether it was not known.
    pub fn heard(&mut self, now: TimeMs, candidate: KeeperCandidate) -> bool {
        let address = candidate.daemon.address;
        self.candidates.insert(address, (now, candidate)).is_none()
    }

    /// Adopts a list of the leader. Returns whether it is new.
    pub fn adopt(&mut self, list: KeeperList) -> bool {
        let is_new = list.is_newer_than(&self.list);
        if is_new {
            self.list = list;
        }
        is_new
    }

    /// Returns the list to publish as the leader under the version `lead` of the leader row, if it
    /// is due.
    ///
    /// A new leader keeps the keepers of the list that it knows until the other daemons have had time
    /// to greet it. A leader that was replaced publishes nothing.
    pub fn publish(&mut self, now: TimeMs, lead: u64) -> Option<KeeperList> {
        if lead < self.list.lead {
            return None;
        }
        if self.term.as_ref().is_none_or(|term| term.lead != lead) {
            self.term = Some(Term {
                lead,
                since: now,
                inherited: self.list.keepers.clone(),
            });
        }
        let since_ms = now.since(self.published_at);
        if since_ms < CHANGE_INTERVAL_MS {
            return None;
        }
        self.candidates
            .retain(|_, (heard_at, _)| now.since(*heard_at) <= CANDIDATE_TIMEOUT_MS);
        let keepers = self.inherited(now).unwrap_or_else(|| self.choose());
        let has_changed = keepers != self.list.keepers || lead != self.list.lead;
        if !has_changed && since_ms < PUBLISH_INTERVAL_MS {
            return None;
        }
        if has_changed {
            let number = if lead == self.list.lead {
                self.list.number + 1
            } else {
                0
            };
            self.list = KeeperList {
                lead,
                number,
                keepers,
            };
        }
        self.published_at = now;
        Some(self.list.clone())
    }

    /// Returns the keepers that were taken over from the leader before, without those that leave,
    /// while the daemons have not had time to greet this one.
    fn inherited(&self, now: TimeMs) -> Option<Vec<KeeperDaemon>> {
        let term = self.term.as_ref()?;
        let is_new = now.since(term.since) < CANDIDATE_TIMEOUT_MS;
        if !is_new || term.inherited.is_empty() {
            return None;
        }
        let stays = |keeper: &&KeeperDaemon| {
            let candidate = self.candidates.get(&keeper.address);
            candidate.is_none_or(|(_, candidate)| !candidate.is_leaving)
        };
        Some(term.inherited.iter().filter(stays).cloned().collect())
    }

    /// Returns the strongest daemons of each zone, sorted by address.
    fn choose(&self) -> Vec<KeeperDaemon> {
        let mut zones: Map<&ZoneName, Vec<&KeeperDaemon>> = new_map();
        for (_, candidate) in self.candidates.values() {
            let zone = zones.entry(&candidate.daemon.zone).or_default();
            if !candidate.is_leaving {
                zone.push(&candidate.daemon);
            }
        }
        let mut keepers = Vec::new();
        for mut daemons in zones.into_values() {
            daemons.sort_by(|a, b| b.weight.cmp(&a.weight).then(a.address.cmp(&b.address)));
            let count = (daemons.len() * KEEPERS_PERCENT).div_ceil(100);
            let count = count.clamp(KEEPERS_MIN, KEEPERS_MAX);
            keepers.extend(daemons.into_iter().take(count).cloned());
        }
        keepers.sort_by_key(|keeper| keeper.address);
        keepers
    }
}
