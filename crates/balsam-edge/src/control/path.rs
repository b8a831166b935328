//! Starts the control path: the control task and the tasks that it uses.

use super::ControlInput;
use super::task::{ControlChannels, ControlTask, StartDelays, run};
use crate::PlatformChannels;
use crate::clock::now;
use crate::metrics::EdgeMetrics;
use crate::peer::{PeerOutput, PeerSocket, PeerTask};
use crate::room::{KeeperTask, RoomChannels, RoomDelivery};
use crate::settings::Settings;
use crate::view::{SyncStatus, View};
use actix_rt::Arbiter;
use balsam_decide::feed::{Feed, FeedTiming};
use balsam_decide::keys::{DaemonIdentity, GrantTiming};
use balsam_types::{Incarnation, TimeMs};
use log::error;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// Extra delay of an election attempt on a machine of the least capacity, compared with one that
/// can carry the leader's duties in full, in milliseconds. Together with the rest of a takeover it
/// must fit into the duration of a grant.
const CAPACITY_DELAY_MAX_MS: f64 = 400.0;

/// Upper limit of the random delay that separates the election attempts of machines of equal
/// capacity, in milliseconds.
const ELECTION_JITTER_MS: u64 = 150;

/// Upper limit of the random delay until a restarted daemon looks up the leader, in milliseconds.
const RESTART_JITTER_MS: u64 = 50;

/// How long a daemon waits for a leader to send it the tables when the whole deployment starts, in
/// milliseconds. It covers the election on machines that do not start at the same moment.
const FIRST_START_TABLES_WAIT_MS: u64 = 1_500;

/// How long a restarted daemon waits for a leader to send it the tables, in milliseconds: the time
/// to look up the leader and to get its answer. After a restart of all daemons none has an answer,
/// and all read the store, which serves them faster than one daemon could.
const RESTART_TABLES_WAIT_MS: u64 = 150;

/// Share of the machine's link that the leader uses for snapshots, in percent. The rest is for
/// heartbeats, changes and requests.
const SNAPSHOT_LINK_PERCENT: f64 = 50.0;

/// Upper limit on the encoded length of an assignment with its owner and one former owner, in
/// bytes.
const ROW_BYTES_PER_ASSIGNMENT: usize = 256;

/// Everything that the control path needs to start.
pub(crate) struct ControlPath {
    pub(crate) socket: PeerSocket,
    /// Starts the adapter's tasks and returns their channels.
    pub(crate) connect: Box<dyn FnOnce() -> PlatformChannels + Send>,
    pub(crate) control: mpsc::Sender<ControlInput>,
    pub(crate) inputs: mpsc::Receiver<ControlInput>,
    pub(crate) views: watch::Sender<Arc<View>>,
    pub(crate) sync_status: watch::Sender<SyncStatus>,
    pub(crate) serves_until: watch::Sender<TimeMs>,
    pub(crate) metrics: EdgeMetrics,
    /// Sends messages to the task of the peer socket, which receives them from `outputs`.
    pub(crate) peers: mpsc::Sender<PeerOutput>,
    pub(crate) outputs: mpsc::Receiver<PeerOutput>,
    /// Delivers messages about the room of upstreams.
    pub(crate) room: RoomChannels,
    pub(crate) keeper: KeeperTask,
    /// Messages for the keeper.
    pub(crate) keeper_messages: mpsc::Receiver<RoomDelivery>,
}

impl ControlPath {
    /// Starts the control path on a thread of its own.
    ///
    /// This way it gets processor time even while requests keep the main thread busy: the time
    /// limits on changes and grants hold then as well.
    pub(crate) fn start(self, settings: &Settings) -> Arbiter {
        let this_daemon = DaemonIdentity {
            daemon: settings.daemon.clone(),
            incarnation: Incarnation(rand::random()),
            address: self.socket.address(),
        };
        let timing = GrantTiming::new(settings.bounds.hold_max_ms());
        let capacity_shortfall = 1.0 - settings.machine.leader_capacity();
        let election_delay_ms = (CAPACITY_DELAY_MAX_MS * capacity_shortfall) as u64
            + rand::random_range(0..ELECTION_JITTER_MS);
        let (first_read_ms, tables_wait_ms) = if settings.first_start {
            (election_delay_ms, FIRST_START_TABLES_WAIT_MS)
        } else {
            let first_read_ms = rand::random_range(0..RESTART_JITTER_MS);
            (first_read_ms, RESTART_TABLES_WAIT_MS)
        };
        let delays = StartDelays {
            election_ms: election_delay_ms,
            first_read_ms,
            is_first_start: settings.first_start,
        };
        let feed = Feed::new()
            .with_first_read_at(now().after(tables_wait_ms))
            .with_turn(rand::random())
            .with_timing(FeedTiming::new(settings.bounds.propagation_ms()));
        let link_bytes_per_s = settings.machine.link_mbps * 1e6 / 8.0;
        let snapshot_bytes_per_s = (link_bytes_per_s * SNAPSHOT_LINK_PERCENT / 100.0) as u64;
        let row_assignments_max = (settings.row_max_bytes / ROW_BYTES_PER_ASSIGNMENT).max(1);
        let credential = settings.peer_credential.clone();
        let zone = settings.zone.clone();
        let keeper_weight = settings.machine.keeper_weight();
        let keeper_weight = (settings.room_daemons_per_slot > 0).then_some(keeper_weight);
        let evacuation_ms = settings.bounds.evacuation_ms();
        let thread = Arbiter::new();
        thread.spawn_fn(move || {
            let PlatformChannels { store, orders } = (self.connect)();
            let metrics = self.metrics.clone();
            let control = self.control.clone();
            match PeerTask::new(self.socket, &credential, control, self.room, metrics) {
                Ok(peer) => drop(actix_rt::spawn(peer.run(self.outputs))),
                Err(error) => error!("peer messages disabled: {error}"),
            }
            let views = self.views.subscribe();
            actix_rt::spawn(self.keeper.run(self.keeper_messages, views));
            let channels = ControlChannels {
                store,
                orders,
                control: self.control,
                peers: self.peers,
                views: self.views,
                sync_status: self.sync_status,
                serves_until: self.serves_until,
                metrics: self.metrics,
                row_assignments_max,
                zone,
                keeper_weight,
                evacuation_ms,
            };
            let task = ControlTask::new(
                this_daemon,
                timing,
                delays,
                feed,
                snapshot_bytes_per_s,
                channels,
            );
            actix_rt::spawn(run(task, self.inputs));
        });
        thread
    }
}
