//! The task that passes each command to the connection task of its peer.

use super::connection::run_peer;
use super::error::BusySnafu;
use super::settings::PEER_QUEUE;
use super::{PeerClient, PeerCommand, PeerSettings};
use balsam_types::{Map, new_map};
use std::net::SocketAddr;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

/// Starts the client side of the peer transport, which ends when all handles are dropped.
pub fn start_client(settings: &PeerSettings) -> PeerClient {
    let (commands, receiver) = mpsc::channel(PEER_QUEUE);
    tokio::spawn(route_commands(settings.clone(), receiver));
    PeerClient::new(commands)
}

async fn route_commands(settings: PeerSettings, mut commands: mpsc::Receiver<PeerCommand>) {
    let mut peers: Map<SocketAddr, mpsc::Sender<PeerCommand>> = new_map();
    while let Some(command) = commands.recv().await {
        let address = command.to();
        // The task of a peer ends after its idle time-out, and the next command starts a new one.
        if peers.get(&address).is_none_or(mpsc::Sender::is_closed) {
            peers.retain(|_, peer| !peer.is_closed());
            let (peer, peer_commands) = mpsc::channel(PEER_QUEUE);
            tokio::spawn(run_peer(address, settings.clone(), peer_commands));
            peers.insert(address, peer);
        }
        let Some(peer) = peers.get(&address) else {
            continue;
        };
        match peer.try_send(command) {
            Ok(()) => {}
            Err(TrySendError::Full(command) | TrySendError::Closed(command)) => {
                command.fail(BusySnafu { address }.build());
            }
        }
    }
}
