//! Errors of exchanges with peers.

use balsam_wire::peer::{PeerRefusal, WireError};
use snafu::Snafu;
use std::net::SocketAddr;

/// Why an exchange with a peer failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// No connection could be opened, so that nothing was sent.
    #[snafu(display("peer {address}: no connection could be opened"))]
    Unreachable {
        /// The peer's address.
        address: SocketAddr,
    },
    /// Too many calls to the peer are queued, so that nothing was sent.
    #[snafu(display("peer {address}: too many calls are queued"))]
    Busy {
        /// The peer's address.
        address: SocketAddr,
    },
    /// The peer did not respond before the deadline.
    #[snafu(display("peer {address}: no response before the deadline"))]
    Deadline {
        /// The peer's address.
        address: SocketAddr,
    },
    /// The peer refused the request without executing any part of it.
    #[snafu(display("the peer refused the request: {}", refusal.as_str()))]
    Refused {
        /// Why the peer refused it.
        refusal: PeerRefusal,
    },
    /// The connection or stream failed, possibly after the peer received the request.
    #[snafu(display("the connection or stream failed: {source}"), context(false))]
    Broken {
        /// The HTTP/2 error.
        source: h2::Error,
    },
    /// The stream ended before its message was complete.
    #[snafu(display("the stream ended before its message was complete"))]
    Truncated,
    /// The peer sent a message that is invalid.
    #[snafu(display("the peer sent an invalid message: {source}"), context(false))]
    Message {
        /// Why it is invalid.
        source: WireError,
    },
    /// The peer responded with a message of another kind, or with a status that is not known.
    ///
    /// Also covers a refusal that cannot be decoded, a request that cannot be built, and a relayed
    /// request where a control request is expected.
    #[snafu(display("the peer's response does not match the request"))]
    Mismatched,
    /// The peer tasks of this daemon have ended.
    #[snafu(display("the peer tasks of this daemon have ended"))]
    Stopped,
}

impl PeerError {
    /// Returns whether it is certain that the peer has executed no part of the request.
    pub const fn is_not_executed(&self) -> bool {
        matches!(
            self,
            Self::Unreachable { .. } | Self::Busy { .. } | Self::Refused { .. } | Self::Stopped
        )
    }
}
