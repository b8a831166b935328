//! Requests that wait for an answer of the node.

use crate::peer::PeerResponse;
use balsam_decide::node::{CommandResult, RequestId};
use balsam_types::{Map, new_map};
use tokio::sync::oneshot;

/// Where the answer to a request goes.
#[derive(Debug)]
pub(super) enum Waiter {
    /// A request of a peer.
    Peer(oneshot::Sender<PeerResponse>),
    /// A command of an operator.
    Command(oneshot::Sender<CommandResult>),
}

impl Waiter {
    fn is_gone(&self) -> bool {
        match self {
            Self::Peer(reply) => reply.is_closed(),
            Self::Command(reply) => reply.is_closed(),
        }
    }
}

/// The requests that wait, by their ids.
#[derive(Debug)]
pub(super) struct Waiting {
    next: u64,
    waiters: Map<RequestId, Waiter>,
}

/// The number of waiting requests at which those that were abandoned are dropped.
const SWEEP_AT: usize = 1_024;

impl Waiting {
    /// Makes an empty table.
    pub(super) fn new() -> Self {
        Self {
            next: 0,
            waiters: new_map(),
        }
    }

    /// Adds a request and returns its id.
    pub(super) fn add(&mut self, waiter: Waiter) -> RequestId {
        if self.waiters.len() >= SWEEP_AT {
            self.waiters.retain(|_, waiter| !waiter.is_gone());
        }
        let request = self.skip();
        self.waiters.insert(request, waiter);
        request
    }

    /// Returns the id of a request that no one waits for.
    pub(super) const fn skip(&mut self) -> RequestId {
        self.next += 1;
        RequestId(self.next)
    }

    /// Answers a request of a peer.
    pub(super) fn answer_peer(&mut self, request: RequestId, response: PeerResponse) {
        if let Some(Waiter::Peer(reply)) = self.waiters.remove(&request) {
            // A peer that stopped waiting has dropped its receiver.
            let _ = reply.send(response);
        }
    }

    /// Answers a command of an operator.
    pub(super) fn answer_command(&mut self, request: RequestId, result: CommandResult) {
        if let Some(Waiter::Command(reply)) = self.waiters.remove(&request) {
            // An operator that stopped waiting has dropped its receiver.
            let _ = reply.send(result);
        }
    }
}
