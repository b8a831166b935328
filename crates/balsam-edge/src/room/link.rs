//! Channels for messages between the pool, the keeper of this daemon and other daemons.

use crate::metrics::EdgeMetrics;
use crate::peer::{PeerMessage, PeerOutput};
use balsam_decide::room::RoomMessage;
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// Capacity of each channel. Messages beyond it are dropped, and repeated by their senders.
const CHANNEL_CAPACITY: usize = 1_024;

/// A message, and the daemon that has sent it.
#[derive(Debug)]
pub(crate) struct RoomDelivery {
    pub(crate) from: SocketAddr,
    pub(crate) message: RoomMessage,
}

/// Delivers messages to the keeper or to the pool of this daemon.
#[derive(Clone, Debug)]
pub(crate) struct RoomChannels {
    keeper: mpsc::Sender<RoomDelivery>,
    pool: mpsc::Sender<RoomDelivery>,
}

impl RoomChannels {
    /// Delivers a message to the task that handles it. Returns whether there was space for it.
    pub(crate) fn deliver(&self, from: SocketAddr, message: RoomMessage) -> bool {
        let receiver = match message {
            RoomMessage::Ask(_) | RoomMessage::Return(_) => &self.keeper,
            RoomMessage::Answer { .. } | RoomMessage::Acknowledge(_) => &self.pool,
        };
        receiver.try_send(RoomDelivery { from, message }).is_ok()
    }
}

/// Sends messages to keepers and daemons, of which one may be this daemon itself.
#[derive(Clone, Debug)]
pub(crate) struct RoomLink {
    address: SocketAddr,
    channels: RoomChannels,
    peers: mpsc::Sender<PeerOutput>,
    metrics: EdgeMetrics,
}

impl RoomLink {
    /// Sends a message.
    pub(crate) fn send(&self, to: SocketAddr, message: RoomMessage) {
        let is_sent = if to == self.address {
            self.channels.deliver(self.address, message)
        } else {
            let output = PeerOutput {
                targets: vec![to],
                relays: Vec::new(),
                message: PeerMessage::Room(message),
            };
            self.peers.try_send(output).is_ok()
        };
        if !is_sent {
            self.metrics.peer_message_dropped("room");
        }
    }
}

/// The ends of the channels.
#[derive(Debug)]
pub(crate) struct RoomPorts {
    pub(crate) channels: RoomChannels,
    pub(crate) link: RoomLink,
    /// Messages for the keeper.
    pub(crate) keeper: mpsc::Receiver<RoomDelivery>,
    /// Messages for the pool.
    pub(crate) pool: mpsc::Receiver<RoomDelivery>,
}

/// Creates the channels of the daemon that receives datagrams at `address`.
pub(crate) fn room_ports(
    address: SocketAddr,
    peers: mpsc::Sender<PeerOutput>,
    metrics: EdgeMetrics,
) -> RoomPorts {
    let (keeper_tx, keeper) = mpsc::channel(CHANNEL_CAPACITY);
    let (pool_tx, pool) = mpsc::channel(CHANNEL_CAPACITY);
    let channels = RoomChannels {
        keeper: keeper_tx,
        pool: pool_tx,
    };
    let link = RoomLink {
        address,
        channels: channels.clone(),
        peers,
        metrics,
    };
    RoomPorts {
        channels,
        link,
        keeper,
        pool,
    }
}
