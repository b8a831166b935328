//! The control messages between daemons, apart from their encoding.

use balsam_decide::node::{ChangesBody, Heartbeat, HeartbeatReply};
use balsam_types::Epoch;
use tokio::sync::oneshot;

/// A control request to a peer.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerRequest {
    /// The periodic heartbeat.
    Heartbeat(Heartbeat),
    /// Requests the log entries after an epoch.
    Changes {
        /// The epoch that the sender has adopted.
        after: Epoch,
    },
}

/// The response to a [`PeerRequest`] of the same kind.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerResponse {
    /// The reply to a heartbeat.
    Heartbeat(HeartbeatReply),
    /// The log entries or the snapshot that a request for changes returns.
    Changes(ChangesBody),
}

/// A control request from a peer, as the listener passes it to the control task.
///
/// If `reply` is dropped without a response, the peer gets a refusal.
#[derive(Debug)]
pub struct IncomingControl {
    /// The request.
    pub request: PeerRequest,
    /// Takes the response, which must be of the same kind as the request.
    pub reply: oneshot::Sender<PeerResponse>,
}
