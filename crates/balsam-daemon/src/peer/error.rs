//! Failures of exchanges with peers.

use balsam_wire::peer::{PeerRefusal, WireError};
use snafu::Snafu;
use std::net::SocketAddr;

/// Why an exchange with a peer failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// No connection could be opened; nothing was sent.
    #[snafu(display("peer {address}: no connection could be opened"))]
    Unreachable {
        /// The peer's address.
        address: SocketAddr,
    },
    /// Too many calls wait for the peer; nothing was sent.
    #[snafu(display("peer {address}: too many calls are waiting"))]
    Busy {
        /// The peer's address.
        address: SocketAddr,
    },
    /// The peer did not answer before the deadline.
    #[snafu(display("peer {address}: no answer before the deadline"))]
    Deadline {
        /// The peer's address.
        address: SocketAddr,
    },
    /// The peer refused the request and did nothing.
    #[snafu(display("the peer refused the request: {}", refusal.as_str()))]
    Refused {
        /// Why.
        refusal: PeerRefusal,
    },
    /// The connection or stream broke after the request was sent.
    #[snafu(display("the stream broke: {source}"), context(false))]
    Broken {
        /// What the stream reported.
        source: h2::Error,
    },
    /// The stream ended before its message was complete.
    #[snafu(display("the stream ended before its message was complete"))]
    Truncated,
    /// The peer sent something that is not accepted.
    #[snafu(
        display("the peer's message is not accepted: {source}"),
        context(false)
    )]
    Message {
        /// What is wrong.
        source: WireError,
    },
    /// The peer answered with a message of another kind, or with an unknown status.
    #[snafu(display("the peer's answer does not match the request"))]
    Mismatched,
    /// The daemon's own peer tasks have ended.
    #[snafu(display("the peer transport has stopped"))]
    Stopped,
}

impl PeerError {
    /// Returns whether the peer cannot have acted on the request.
    pub const fn is_not_sent(&self) -> bool {
        matches!(
            self,
            Self::Unreachable { .. } | Self::Busy { .. } | Self::Refused { .. } | Self::Stopped
        )
    }
}
