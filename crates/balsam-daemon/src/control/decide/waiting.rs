//! Requests that wait for a reply from the node.

use crate::peer::PeerResponse;
use balsam_decide::node::{CommandResult, RequestId};
use balsam_types::{Map, new_map};
use tokio::sync::oneshot;

/// The channel for the reply to a request.
#[derive(Debug)]
pub(super) enum ReplySender {
    /// The request came from a peer.
    Peer(oneshot::Sender<PeerResponse>),
    /// The request is an operator command.
    Command(oneshot::Sender<CommandResult>),
}

impl ReplySender {
    fn is_abandoned(&self) -> bool {
        match self {
            Self::Peer(reply) => reply.is_closed(),
            Self::Command(reply) => reply.is_closed(),
        }
    }
}

/// The pending requests by their ids.
#[derive(Debug)]
pub(super) struct PendingRequests {
    last_id: u64,
    reply_senders: Map<RequestId, ReplySender>,
}

/// The number of pending requests at which those whose requesters have stopped waiting are removed.
const PURGE_THRESHOLD: usize = 1_024;

impl PendingRequests {
    /// Creates an empty table.
    pub(super) fn new() -> Self {
        Self {
            last_id: 0,
            reply_senders: new_map(),
        }
    }

    /// Adds a request and returns its id.
    pub(super) fn add(&mut self, reply_sender: ReplySender) -> RequestId {
        if self.reply_senders.len() >= PURGE_THRESHOLD {
            self.reply_senders
                .retain(|_, reply_sender| !reply_sender.is_abandoned());
        }
        let request = self.allocate_id();
        self.reply_senders.insert(request, reply_sender);
        request
    }

    /// Returns a new id, for a request that needs no reply.
    pub(super) const fn allocate_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
    }

    /// Sends the reply to a peer's request.
    pub(super) fn answer_peer(&mut self, request: RequestId, response: PeerResponse) {
        if let Some(ReplySender::Peer(reply)) = self.reply_senders.remove(&request) {
            // Sending fails if the requester has stopped waiting and dropped its receiver.
            let _ = reply.send(response);
        }
    }

    /// Sends the result of an operator command.
    pub(super) fn answer_command(&mut self, request: RequestId, result: CommandResult) {
        if let Some(ReplySender::Command(reply)) = self.reply_senders.remove(&request) {
            // Sending fails if the requester has stopped waiting and dropped its receiver.
            let _ = reply.send(result);
        }
    }
}
