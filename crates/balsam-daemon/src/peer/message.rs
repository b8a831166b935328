//! The control messages that daemons exchange.

use balsam_decide::node::{ChangesBody, Heartbeat, HeartbeatReply};
use balsam_types::Epoch;
use tokio::sync::oneshot;

/// A control request to a peer.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerRequest {
    /// The periodic heartbeat.
    Heartbeat(Heartbeat),
    /// Asks for the log entries after an epoch.
    Changes {
        /// The epoch that the sender has.
        after: Epoch,
    },
}

/// The answer to a [`PeerRequest`] of the same kind.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerResponse {
    /// Answers a pulse.
    Heartbeat(HeartbeatReply),
    /// Answers a request for changes.
    Changes(ChangesBody),
}

/// A control request from a peer, as the listener hands it to the control task.
///
/// Dropping `reply` refuses the request.
#[derive(Debug)]
pub struct IncomingControl {
    /// The request.
    pub request: PeerRequest,
    /// Where the answer goes; it must be of the request's kind.
    pub reply: oneshot::Sender<PeerResponse>,
}
