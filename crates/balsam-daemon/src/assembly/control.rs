//! The control tasks and the channels between them.

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

/// Inputs that wait for the control task.
const INPUT_QUEUE: usize = 4_096;

/// Exchanges that wait for the tasks of outside systems.
const EXCHANGE_QUEUE: usize = 1_024;

/// Requests of the request path that wait for the platform task.
const TABLE_QUEUE: usize = 256;

/// The handles of the running control tasks.
#[derive(Debug)]
pub(super) struct ControlTasks {
    /// Reaches the control task.
    pub(super) handle: ControlHandle,
    /// Reaches the platform's table from the request path.
    pub(super) table: TableClient,
    /// Is told when the daemon has left the roster.
    pub(super) left: oneshot::Receiver<()>,
}

/// Starts the control tasks of daemon `me` in `tasks`.
pub(super) fn start_control(
    me: DaemonInfo,
    platform: SocketAddr,
    peer_client: PeerClient,
    incoming: mpsc::Receiver<IncomingControl>,
    tasks: &mut JoinSet<()>,
) -> ControlTasks {
    let clock = BootClock;
    let (inputs, input_receiver) = mpsc::channel(INPUT_QUEUE);
    let (to_platform, platform_exchanges) = mpsc::channel(EXCHANGE_QUEUE);
    let (to_table, table_exchanges) = mpsc::channel(TABLE_QUEUE);
    let (to_peers, peer_exchanges) = mpsc::channel(EXCHANGE_QUEUE);
    let (to_upstreams, upstream_exchanges) = mpsc::channel(EXCHANGE_QUEUE);
    let (left_sender, left) = oneshot::channel();
    let (publisher, views) = Publisher::new(me.incarnation);
    let node = Node::new(me, rand::random(), clock.now());
    let sources = ControlReceivers {
        inputs: input_receiver,
        peers: incoming,
    };
    let routes = OutputChannels {
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
    let control_task = ControlTask::new(node, clock, sources, routes, publisher, left_sender);
    tasks.spawn_local(platform_task.run());
    tasks.spawn_local(upstreams_task.run());
    tasks.spawn_local(peers_task.run());
    tasks.spawn_local(control_task.run());
    ControlTasks {
        handle: ControlHandle::new(inputs, views),
        table: TableClient::new(to_table),
        left,
    }
}
