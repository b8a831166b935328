//! The task that sends pulses and fetches changes.

use super::exchanges::run_exchanges;
use crate::control::decide::ControlInput;
use crate::peer::{PeerClient, PeerRequest, PeerResponse};
use balsam_decide::node::{Heartbeat, NodeInput, PeerEndpoint};
use balsam_types::Epoch;
use balsam_types::timing::HEARTBEAT_INTERVAL_MS;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Exchanges at once; a full mesh of two rounds fits for each roster that uses the mesh.
const EXCHANGES: usize = 256;

/// The wait for the answer to a pulse; only answers to the newest rounds count.
const PULSE_WAIT: Duration = Duration::from_millis(2 * HEARTBEAT_INTERVAL_MS);

/// The wait for changes, which may be a whole snapshot.
const CHANGES_WAIT: Duration = Duration::from_secs(2);

/// A request of the control task to a peer.
#[derive(Debug)]
pub enum PeerExchange {
    /// Sends a pulse.
    Heartbeat {
        /// The peer.
        to: PeerEndpoint,
        /// The pulse.
        heartbeat: Heartbeat,
    },
    /// Asks for the changes after an epoch.
    Changes {
        /// The peer.
        from: PeerEndpoint,
        /// The epoch.
        after: Epoch,
    },
}

/// Runs a bounded number of exchanges with peers at once.
#[derive(Debug)]
pub struct PeersTask {
    client: PeerClient,
    exchanges: mpsc::Receiver<PeerExchange>,
    inputs: mpsc::Sender<ControlInput>,
}

impl PeersTask {
    /// Makes the task; answers go to `inputs`.
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

    /// Runs until all senders of requests are gone.
    pub async fn run(self) {
        let begin = |exchange| exchange_with_peer(self.client.clone(), exchange);
        run_exchanges(self.exchanges, self.inputs, EXCHANGES, begin).await;
    }
}

async fn exchange_with_peer(client: PeerClient, exchange: PeerExchange) -> Option<NodeInput> {
    let (peer, request, wait) = match exchange {
        PeerExchange::Heartbeat { to, heartbeat } => {
            (to, PeerRequest::Heartbeat(heartbeat), PULSE_WAIT)
        }
        PeerExchange::Changes { from, after } => {
            (from, PeerRequest::Changes { after }, CHANGES_WAIT)
        }
    };
    let deadline = Instant::now() + wait;
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
