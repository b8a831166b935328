//! The channels that carry the node's outputs to the tasks that act on them.

use crate::control::distribute::{PeerExchange, UpstreamExchange};
use crate::control::edge::ControlExchange;
use balsam_decide::node::{CommitResult, NodeInput, TableResult};
use balsam_types::TimeMs;
use tokio::sync::mpsc;

/// The channels to the tasks for the platform, the peers and the upstreams.
///
/// The control task never waits for them: a full channel is reported to the node as a failed
/// exchange, so that a slow outside system cannot stop the node.
#[derive(Clone, Debug)]
pub struct Routes {
    /// To the platform task.
    pub platform: mpsc::Sender<ControlExchange>,
    /// To the task for peers.
    pub peers: mpsc::Sender<PeerExchange>,
    /// To the task for upstreams.
    pub upstreams: mpsc::Sender<UpstreamExchange>,
}

impl Routes {
    /// Sends an exchange to the platform task, or returns its failure.
    pub(super) fn to_platform(&self, now: TimeMs, exchange: ControlExchange) -> Option<NodeInput> {
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

    /// Sends an exchange to the task for peers; the node repeats what it needs at the next pulse.
    pub(super) fn to_peers(&self, exchange: PeerExchange) {
        if self.peers.try_send(exchange).is_err() {
            log::debug!("the queue of peer exchanges is full");
        }
    }

    /// Sends an exchange to the task for upstreams, or returns its failure.
    pub(super) fn to_upstreams(
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
