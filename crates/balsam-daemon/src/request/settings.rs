//! What the request path is started with, and the handle to stop it.

use super::accept::Phase;
use crate::control::decide::ControlHandle;
use crate::control::edge::TableClient;
use crate::metrics::Metrics;
use crate::peer::{IncomingRelay, PeerClient};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// What the daemon's settings file says of the request path.
#[derive(Clone, Debug)]
pub struct RequestSettings {
    /// The address of the callers' listener.
    pub caller_address: SocketAddr,
    /// Callers' connections that are held at once.
    pub connections_max: usize,
    /// Bytes of header fields that a caller may send.
    pub header_max_bytes: usize,
    /// How long an idle connection of a caller is kept, in milliseconds.
    pub keep_alive_ms: u64,
    /// How long a stopping daemon still accepts, in milliseconds.
    ///
    /// The load balancer sends callers elsewhere once it has seen that the daemon is not ready.
    pub grace_ms: u64,
    /// How long requests in flight may take after that, in milliseconds.
    pub drain_ms: u64,
}

impl RequestSettings {
    /// Makes settings with the default limits.
    pub const fn new(caller_address: SocketAddr) -> Self {
        Self {
            caller_address,
            connections_max: 10_000,
            header_max_bytes: 32 << 10,
            keep_alive_ms: 5_000,
            grace_ms: 2_000,
            drain_ms: 30_000,
        }
    }
}

/// The channels between the request path and the other tasks of the daemon.
#[derive(Debug)]
pub struct RequestChannels {
    /// The control task, which takes load reports and quarantine entries.
    pub control: ControlHandle,
    /// The platform's table, for orders and crash counts.
    pub table: TableClient,
    /// Other daemons.
    pub peers: PeerClient,
    /// Relayed requests from the peer listener.
    pub relays: mpsc::Receiver<IncomingRelay>,
    /// The instruments.
    pub metrics: Metrics,
}

/// The running request path.
#[derive(Debug)]
pub struct RequestHandles {
    /// The address that callers connect to.
    pub caller_address: SocketAddr,
    pub(super) phase: watch::Sender<Phase>,
    pub(super) grace_ms: u64,
}

impl RequestHandles {
    /// Stops in order: reports not ready, accepts for a while more, then finishes what is in
    /// flight.
    pub async fn stop(self) {
        self.phase.send_replace(Phase::Leaving);
        sleep(Duration::from_millis(self.grace_ms)).await;
        self.phase.send_replace(Phase::Closing);
        // The listener task holds the last receiver until its connections have ended.
        self.phase.closed().await;
    }
}
