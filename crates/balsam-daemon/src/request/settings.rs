//! Start-up parameters of the request path and the handle that stops it.

use super::accept::Phase;
use crate::control::decide::ControlHandle;
use crate::control::edge::TableClient;
use crate::metrics::Metrics;
use crate::peer::{IncomingRelay, PeerClient};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// Options of the request path from the daemon's settings file.
#[derive(Clone, Debug)]
pub struct RequestSettings {
    /// The listen address for callers.
    pub caller_address: SocketAddr,
    /// The maximum number of concurrent caller connections.
    pub connections_max: usize,
    /// The maximum size of one request's header fields, in bytes.
    pub header_max_bytes: usize,
    /// The idle timeout of keep-alive caller connections, in milliseconds.
    pub keep_alive_ms: u64,
    /// The time after a stop request during which the daemon still accepts connections, in
    /// milliseconds.
    ///
    /// The daemon already reports that it is not ready, so load balancers have this long to notice
    /// and route callers elsewhere.
    pub grace_ms: u64,
    /// The maximum time to wait for in-flight requests after the grace period, in milliseconds.
    pub drain_ms: u64,
}

impl RequestSettings {
    /// Creates settings with the default limits.
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

/// Channels that connect the request path to the other tasks of the daemon.
#[derive(Debug)]
pub struct RequestChannels {
    /// The handle to the control task, which receives load reports and quarantine commands.
    pub control: ControlHandle,
    /// The client of the platform's table, which stores order claims and crash counts.
    pub table: TableClient,
    /// The client for relaying requests to other daemons.
    pub peers: PeerClient,
    /// Requests that other daemons relay to this daemon.
    pub relays: mpsc::Receiver<IncomingRelay>,
    /// The metric instruments.
    pub metrics: Metrics,
}

/// A running request path.
#[derive(Debug)]
pub struct RequestHandles {
    /// The bound address of the caller listener.
    pub caller_address: SocketAddr,
    pub(super) phase: watch::Sender<Phase>,
    pub(super) grace_ms: u64,
}

impl RequestHandles {
    /// Shuts down gracefully: reports that the daemon is not ready, keeps accepting connections for
    /// the grace period, and then waits for in-flight requests.
    pub async fn stop(self) {
        self.phase.send_replace(Phase::Leaving);
        sleep(Duration::from_millis(self.grace_ms)).await;
        self.phase.send_replace(Phase::Closing);
        // The listener task drops the last receiver once its connections have ended.
        self.phase.closed().await;
    }
}
