//! Failures of exchanges with peers.

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
    /// The connection or stream broke after the request was sent.
    #[snafu(display("peer {address}: the connection broke"))]
    Lost {
        /// The peer's address.
        address: SocketAddr,
    },
    /// The daemon's own peer tasks have ended.
    #[snafu(display("the peer transport has stopped"))]
    Stopped,
}
