//! Settings and fixed limits of the peer transport.

use std::sync::Arc;
use std::time::Duration;

/// What the daemon's settings file says of the peer transport.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// The credential that every stream must carry; all daemons share it.
    pub credential: Arc<str>,
    /// Connections that the listener holds at once.
    pub connections_max: usize,
    /// How long a connection without work is kept, in milliseconds.
    pub idle_close_ms: u64,
}

impl PeerSettings {
    /// Makes settings with the default limits.
    pub fn new(credential: impl Into<Arc<str>>) -> Self {
        Self {
            credential: credential.into(),
            // One connection from each of 510 daemons, and as many while they reconnect.
            connections_max: 1_024,
            idle_close_ms: 60_000,
        }
    }
}

/// The time for opening a connection; longer than any delay between regions.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Commands that wait for one peer; beyond that callers are told at once.
pub(super) const PEER_QUEUE: usize = 1_024;

/// The period of h2 pings on a connection that was used within [`ACTIVE`].
pub(super) const PING_PERIOD: Duration = Duration::from_millis(250);

/// The period of h2 pings on other connections, on which only long answers can be in flight.
pub(super) const QUIET_PING_PERIOD: Duration = Duration::from_secs(5);

/// How long a connection counts as used after a command.
pub(super) const ACTIVE: Duration = Duration::from_secs(2);

/// The silence after which a connection is given up, as long as a daemon takes to be suspected.
pub(super) const PING_TIMEOUT: Duration =
    Duration::from_millis(balsam_types::timing::SUSPECT_AFTER_MS);

/// Bytes that one stream may have in flight, which bounds what a slow reader makes a daemon hold.
pub(super) const STREAM_WINDOW_BYTES: u32 = 128 << 10;

/// Bytes that one connection may have in flight.
///
/// It holds the windows of 256 stalled streams, so that slow downloads do not stall lookups on the
/// same connection.
pub(super) const CONNECTION_WINDOW_BYTES: u32 = 256 * STREAM_WINDOW_BYTES;

/// Streams that one connection carries at once.
pub(super) const STREAMS_MAX: u32 = 4_096;

/// Bytes of header fields that a stream may carry.
pub(super) const STREAM_HEADERS_MAX_BYTES: u32 = 8 << 10;

/// How long the daemon's own tasks may take to answer a control request from a peer.
pub(super) const CONTROL_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a peer may take to send a whole control request or the head of a relayed one.
pub(super) const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(5);
