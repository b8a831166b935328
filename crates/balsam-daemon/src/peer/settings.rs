//! Settings and fixed limits of the peer transport.

use std::sync::Arc;
use std::time::Duration;

/// The settings of the peer transport, which come from the daemon's settings file.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// The credential that every stream must carry, which is the same at all daemons.
    pub credential: Arc<str>,
    /// The largest number of connections that the listener holds open.
    pub connections_max: usize,
    /// How long a connection without calls is kept open, in milliseconds.
    pub idle_close_ms: u64,
}

impl PeerSettings {
    /// Creates settings with the default limits.
    pub fn new(credential: impl Into<Arc<str>>) -> Self {
        Self {
            credential: credential.into(),
            // One connection from each of 510 daemons, and the same number again while they
            // reconnect.
            connections_max: 1_024,
            idle_close_ms: 60_000,
        }
    }
}

/// The time limit for opening a connection, which is longer than any network delay between regions.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest number of queued commands for one peer; further commands fail at once.
pub(super) const PEER_QUEUE: usize = 1_024;

/// The interval of HTTP/2 pings on a connection that was used within [`RECENT_USE_WINDOW`].
pub(super) const PING_INTERVAL: Duration = Duration::from_millis(250);

/// The interval of HTTP/2 pings on other connections, on which at most long-running responses are
/// in progress.
pub(super) const IDLE_PING_INTERVAL: Duration = Duration::from_secs(5);

/// How long a connection counts as recently used after a command.
pub(super) const RECENT_USE_WINDOW: Duration = Duration::from_secs(2);

/// How long a ping may stay without a reply before the connection counts as lost.
///
/// It equals the time after which a daemon that does not reply is suspected.
pub(super) const PING_TIMEOUT: Duration =
    Duration::from_millis(balsam_types::timing::SUSPECT_AFTER_MS);

/// The flow-control window of one stream in bytes, which limits how much data a daemon holds for a
/// slow reader.
pub(super) const STREAM_WINDOW_BYTES: u32 = 128 << 10;

/// The flow-control window of one connection in bytes.
///
/// It has room for the windows of 256 stalled streams, so that slow downloads do not stall lookups
/// on the same connection.
pub(super) const CONNECTION_WINDOW_BYTES: u32 = 256 * STREAM_WINDOW_BYTES;

/// The largest number of concurrent streams on one connection.
pub(super) const STREAMS_MAX: u32 = 4_096;

/// The largest total size of the header fields of one stream, in bytes.
pub(super) const STREAM_HEADERS_MAX_BYTES: u32 = 8 << 10;

/// How long the daemon's control task may take to reply to a control request from a peer.
pub(super) const CONTROL_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a peer may take to send a complete control request or the head of a relayed request.
pub(super) const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(5);
