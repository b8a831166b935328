//! The addresses of the other daemons.

use balsam_types::{Map, TimeMs, new_map};
use std::net::SocketAddr;

/// How long a daemon that was not heard is still counted, in milliseconds; it covers restarts and
/// most partitions.
const HEARD_MS: u64 = 30_000;

/// The daemons that this one has heard of.
#[derive(Debug)]
pub struct PeerRegistry {
    heard: Map<SocketAddr, TimeMs>,
    /// The last daemon that was named to the others.
    named: Option<SocketAddr>,
}

impl PeerRegistry {
    /// Makes an empty book.
    pub fn new() -> Self {
        Self {
            heard: new_map(),
            named: None,
        }
    }

    /// Notes that a daemon was heard, or heard of from the leader.
    pub fn heard(&mut self, now: TimeMs, address: SocketAddr) {
        self.heard.insert(address, now);
    }

    /// Returns the other daemons that run, as far as this one knows.
    pub fn peers(&mut self, now: TimeMs, me: SocketAddr) -> Vec<SocketAddr> {
        self.heard.retain(|_, at| now.since(*at) <= HEARD_MS);
        let mut peers: Vec<SocketAddr> = self.heard.keys().copied().collect();
        peers.retain(|address| *address != me);
        peers.sort_unstable();
        peers
    }

    /// Returns the next at most `max` of `peers`, which are sorted, so that calls in a row name all
    /// of them in turn.
    pub fn next_round_robin(&mut self, peers: &[SocketAddr], max: usize) -> Vec<SocketAddr> {
        let start = self.named.map_or(0, |named| {
            peers.partition_point(|address| *address <= named)
        });
        let in_turn = peers[start..].iter().chain(&peers[..start]);
        let next: Vec<SocketAddr> = in_turn.take(max).copied().collect();
        self.named = next.last().copied();
        next
    }
}

impl Default for PeerRegistry {
    fn default() -> Self {
        Self::new()
    }
}
