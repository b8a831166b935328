//! The addresses of the other daemons.

use balsam_types::{Map, TimeMs, new_map};
use std::net::SocketAddr;

/// How long a daemon that was not heard is still counted, in milliseconds; it covers restarts and
/// most partitions.
const HEARD_MS: u64 = 30_000;

/// The daemons that this one has heard of.
#[derive(Debug)]
pub(crate) struct PeerBook {
    heard: Map<SocketAddr, TimeMs>,
}

impl PeerBook {
    /// Makes an empty book.
    pub(crate) fn new() -> Self {
        Self { heard: new_map() }
    }

    /// Notes that a daemon was heard, or heard of from the leader.
    pub(crate) fn heard(&mut self, now: TimeMs, address: SocketAddr) {
        self.heard.insert(address, now);
    }

    /// Returns the other daemons that run, as far as this one knows.
    pub(crate) fn peers(&mut self, now: TimeMs, me: SocketAddr) -> Vec<SocketAddr> {
        self.heard.retain(|_, at| now.since(*at) <= HEARD_MS);
        let mut peers: Vec<SocketAddr> = self.heard.keys().copied().collect();
        peers.retain(|address| *address != me);
        peers.sort_unstable();
        peers
    }
}
