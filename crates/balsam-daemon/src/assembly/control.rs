//! Creates the control tasks and the channels between them.

use crate::control::apply::Publisher;
use crate::control::decide::{ControlHandle, ControlReceivers, ControlTask, OutputChannels};
use crate::control::distribute::{PeersTask, UpstreamsTask};
use crate::control::edge::{
    BootClock, Clock, HttpPlatform, HttpUpstreamControl, PlatformTask, TableClient,
};
use crate::peer::{IncomingControl, PeerClient};
use balsam_decide::node::Node;
use balsam_types::control::DaemonInfo;
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

/// The capacity of the queue of inputs for the control task.
const INPUT_QUEUE_CAPACITY: usize = 4_096;

/// The capacity of each queue of exchanges for the platform, the peers and the upstreams.
const EXCHANGE_QUEUE_CAPACITY: usize = 1_024;

/// The capacity of the queue of table requests from the request path.
const TABLE_QUEUE_CAPACITY: usize = 256;

/// The handles of the running control tasks.
#[derive(Debug)]
pub(super) struct ControlTasks {
    /// Sends messages to the control task.
    pub(super) handle: ControlHandle,
    /// Sends the request path's requests for the platform's table.
    pub(super) table: TableClient,
    /// Receives the signal that the daemon has left the roster.
    pub(super) left_roster: oneshot::Receiver<()>,
}

/// Spawns the control tasks of daemon `me` into `tasks`.
pub(super) fn start_control(
    me: DaemonInfo,
    platform: SocketAddr,
    peer_client: PeerClient,
    incoming: mpsc::Receiver<IncomingControl>,
    tasks: &mut JoinSet<()>,
) -> ControlTasks {
    let clock = BootClock;
    let (inputs, input_receiver) = mpsc::channel(INPUT_QUEUE_CAPACITY);
    let (to_platform, platform_exchanges) = mpsc::channel(EXCHANGE_QUEUE_CAPACITY);
    let (to_table, table_exchanges) = mpsc::channel(TABLE_QUEUE_CAPACITY);
    let (to_peers, peer_exchanges) = mpsc::channel(EXCHANGE_QUEUE_CAPACITY);
    let (to_upstreams, upstream_exchanges) = mpsc::channel(EXCHANGE_QUEUE_CAPACITY);
    let (left_roster_sender, left_roster) = oneshot::channel();
    let (publisher, views) = Publisher::new(me.incarnation);
    let node = Node::new(me, rand::random(), clock.now());
    let receivers = ControlReceivers {
        inputs: input_receiver,
        peers: incoming,
    };
    let channels = OutputChannels {
        platform: to_platform,
        peers: to_peers,
        upstreams: to_upstreams,
    };
    let platform_task = PlatformTask::new(
        HttpPlatform::new(platform),
        clock,
        platform_exchanges,
        table_exchanges,
        inputs.clone(),
    );
    let upstreams_task = UpstreamsTask::new(
        HttpUpstreamControl::new(),
        clock,
        upstream_exchanges,
        inputs.clone(),
    );
    let peers_task = PeersTask::new(peer_client, peer_exchanges, inputs.clone());
    let control_task = ControlTask::new(
        node,
        clock,
        receivers,
        channels,
        publisher,
        left_roster_sender,
    );
    tasks.spawn_local(platform_task.run());
    tasks.spawn_local(upstreams_task.run());
    tasks.spawn_local(peers_task.run());
    tasks.spawn_local(control_task.run());
    ControlTasks {
        handle: ControlHandle::new(inputs, views),
        table: TableClient::new(to_table),
        left_roster,
    }
}
