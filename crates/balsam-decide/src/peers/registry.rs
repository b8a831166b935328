//! The addresses of the other daemons that are considered running.

use balsam_types::{Map, TimeMs, new_map};
use std::net::SocketAddr;

/// How long a daemon is still considered running after it was last heard of, in milliseconds. The
/// time covers restarts and most network partitions.
const PEER_TIMEOUT_MS: u64 = 30_000;

/// How long ago a daemon may have been heard of to pass on messages, in milliseconds: the time of
/// two greetings, and some more for slow links.
const RELAY_TIMEOUT_MS: u64 = 2_500;

/// The daemons that this daemon has heard from, or that the leader's heartbeats have listed.
#[derive(Debug)]
pub struct PeerRegistry {
    /// When each daemon was last heard of.
    heard: Map<SocketAddr, TimeMs>,
    /// The last address that [`Self::next_round_robin`] returned.
    last_returned: Option<SocketAddr>,
}

impl PeerRegistry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self {
            heard: new_map(),
            last_returned: None,
        }
    }

    /// Records that a daemon has sent a message, or that a heartbeat of the leader lists it.
    pub fn heard(&mut self, now: TimeMs, address: SocketAddr) {
        self.heard.insert(address, now);
    }

    /// Returns the other daemons that are considered running, sorted by address.
    pub fn peers(&mut self, now: TimeMs, me: SocketAddr) -> Vec<SocketAddr> {
        self.heard.retain(|_, at| now.since(*at) <= PEER_TIMEOUT_MS);
        let mut peers: Vec<SocketAddr> = self.heard.keys().copied().collect();
        peers.retain(|address| *address != me);
        peers.sort_unstable();
        peers
    }

    /// Returns the daemons among `peers` that were heard of so recently that they can pass on
    /// messages.
    pub fn relays(&self, now: TimeMs, peers: &[SocketAddr]) -> Vec<SocketAddr> {
        let is_recent = |address: &&SocketAddr| {
            let heard_at = self.heard.get(*address);
            heard_at.is_some_and(|at| now.since(*at) <= RELAY_TIMEOUT_MS)
        };
        peers.iter().filter(is_recent).copied().collect()
    }

    /// Returns at most `max` of `peers`, which must be sorted, starting after the last one that the
    /// previous call returned. Consecutive calls thus return all peers in turn.
    pub fn next_round_robin(&mut self, peers: &[SocketAddr], max: usize) -> Vec<SocketAddr> {
        let start = self.last_returned.map_or(0, |last_returned| {
            peers.partition_point(|address| *address <= last_returned)
        });
        let in_turn = peers[start..].iter().chain(&peers[..start]);
        let next: Vec<SocketAddr> = in_turn.take(max).copied().collect();
        self.last_returned = next.last().copied();
        next
    }
}

impl Default for PeerRegistry {
    fn default() -> Self {
        Self::new()
    }
}
