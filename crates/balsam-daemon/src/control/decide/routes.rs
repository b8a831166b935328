//! The channels that carry the node's outputs to the tasks that execute them.

use crate::control::distribute::{PeerExchange, UpstreamExchange};
use crate::control::edge::ControlExchange;
use balsam_decide::node::{CommitResult, NodeInput, TableResult};
use balsam_types::TimeMs;
use tokio::sync::mpsc;

/// The channels to the tasks that communicate with the platform, the peers and the upstreams.
///
/// The control task never waits for space in a channel. If one is full, the exchange fails at once,
/// so that a slow outside system cannot block the node.
#[derive(Clone, Debug)]
pub struct OutputChannels {
    /// The channel to the platform task.
    pub platform: mpsc::Sender<ControlExchange>,
    /// The channel to the task for peers.
    pub peers: mpsc::Sender<PeerExchange>,
    /// The channel to the task for upstreams.
    pub upstreams: mpsc::Sender<UpstreamExchange>,
}

impl OutputChannels {
    /// Sends an exchange to the platform task, or returns the input that reports its failure.
    ///
    /// A dropped read of the instance list or write of a snapshot is not reported.
    pub(super) fn send_to_platform(
        &self,
        now: TimeMs,
        exchange: ControlExchange,
    ) -> Option<NodeInput> {
        match self.platform.try_send(exchange).err()?.into_inner() {
            ControlExchange::ReadTable { .. } => Some(NodeInput::TableRead {
                started_at: now,
                result: TableResult::Failed,
            }),
            ControlExchange::Commit { entry, .. } => Some(NodeInput::CommitDone {
                attempt: entry.attempt,
                result: CommitResult::Unsettled,
            }),
            ControlExchange::ReadInstances | ControlExchange::WriteSnapshot(_) => None,
        }
    }

    /// Sends an exchange to the task for peers, or drops it if the channel is full; the node repeats
    /// what it still needs at the next heartbeat.
    pub(super) fn send_to_peers(&self, exchange: PeerExchange) {
        if self.peers.try_send(exchange).is_err() {
            log::debug!(
                "dropped a peer exchange: the queue of the task for peers is full or closed"
            );
        }
    }

    /// Sends an exchange to the task for upstreams, or returns the input that reports its failure.
    pub(super) fn send_to_upstreams(
        &self,
        now: TimeMs,
        exchange: UpstreamExchange,
    ) -> Option<NodeInput> {
        match self.upstreams.try_send(exchange).err()?.into_inner() {
            UpstreamExchange::Grant {
                upstream,
                lease_until,
                grant,
                ..
            } => Some(NodeInput::GrantReply {
                upstream,
                sent_at: now,
                lease_until,
                grant,
                reply: None,
            }),
            UpstreamExchange::Revoke {
                upstream, revoke, ..
            } => Some(NodeInput::RevokeReply {
                upstream,
                epoch: revoke.epoch,
                units: revoke.units.into_iter().collect(),
                reply: None,
            }),
        }
    }
}
