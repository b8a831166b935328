//! The task that sends heartbeats to peers and fetches changes from them.

use super::exchanges::run_exchanges;
use crate::control::decide::ControlInput;
use crate::peer::{PeerClient, PeerRequest, PeerResponse};
use balsam_decide::node::{Heartbeat, NodeInput, PeerEndpoint};
use balsam_types::Epoch;
use balsam_types::timing::HEARTBEAT_INTERVAL_MS;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The largest number of concurrent exchanges.
///
/// Two rounds of heartbeats to all peers fit into it, for every roster in which all daemons exchange
/// heartbeats with each other.
const MAX_EXCHANGES: usize = 256;

/// The time limit of a heartbeat, two rounds; the node uses replies only to the latest rounds.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2 * HEARTBEAT_INTERVAL_MS);

/// The time limit of a request for changes, whose reply can be a whole snapshot.
const CHANGES_TIMEOUT: Duration = Duration::from_secs(2);

/// A request from the control task to a peer.
#[derive(Debug)]
pub enum PeerExchange {
    /// Sends a heartbeat.
    Heartbeat {
        /// The peer.
        to: PeerEndpoint,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// Requests the log entries after an epoch.
    Changes {
        /// The peer.
        from: PeerEndpoint,
        /// The epoch that the node has adopted.
        after: Epoch,
    },
}

/// Runs a limited number of exchanges with peers concurrently.
#[derive(Debug)]
pub struct PeersTask {
    client: PeerClient,
    exchanges: mpsc::Receiver<PeerExchange>,
    inputs: mpsc::Sender<ControlInput>,
}

impl PeersTask {
    /// Creates the task, which sends the replies to `inputs`.
    pub const fn new(
        client: PeerClient,
        exchanges: mpsc::Receiver<PeerExchange>,
        inputs: mpsc::Sender<ControlInput>,
    ) -> Self {
        Self {
            client,
            exchanges,
            inputs,
        }
    }

    /// Runs until all request senders are dropped and the running exchanges have ended.
    pub async fn run(self) {
        let start_exchange = |exchange| exchange_with_peer(self.client.clone(), exchange);
        run_exchanges(self.exchanges, self.inputs, MAX_EXCHANGES, start_exchange).await;
    }
}

async fn exchange_with_peer(client: PeerClient, exchange: PeerExchange) -> Option<NodeInput> {
    let (peer, request, time_limit) = match exchange {
        PeerExchange::Heartbeat { to, heartbeat } => {
            (to, PeerRequest::Heartbeat(heartbeat), HEARTBEAT_TIMEOUT)
        }
        PeerExchange::Changes { from, after } => {
            (from, PeerRequest::Changes { after }, CHANGES_TIMEOUT)
        }
    };
    let deadline = Instant::now() + time_limit;
    match client.call(peer.address, request, deadline).await {
        Ok(PeerResponse::Heartbeat(reply)) if reply.incarnation != peer.incarnation => {
            Some(NodeInput::PeerReplaced {
                address: peer.address,
                incarnation: reply.incarnation,
            })
        }
        Ok(PeerResponse::Heartbeat(reply)) => Some(NodeInput::HeartbeatReply(reply)),
        Ok(PeerResponse::Changes(body)) => Some(NodeInput::Changes(body)),
        Err(error) => {
            log::debug!("{error}");
            None
        }
    }
}
