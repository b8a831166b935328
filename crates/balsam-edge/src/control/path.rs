//! Starts the control path: the control task and the tasks of its sockets.

use super::ControlInput;
use super::task::{ControlLinks, ControlTask, run};
use crate::PlatformChannels;
use crate::metrics::EdgeMetrics;
use crate::peer::{PeerSocket, PeerTask};
use crate::settings::Settings;
use crate::view::{SyncStatus, View};
use actix_rt::Arbiter;
use balsam_decide::keys::{DaemonIdentity, GrantTiming};
use balsam_types::Incarnation;
use log::error;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// Messages that wait for the task of the peers' socket.
const CHANNEL_MESSAGES: usize = 256;

/// How much later the weakest machine tries to become the leader than a strong one, in
/// milliseconds; with the rest of a takeover it must fit into the hold of a grant.
const WEAKNESS_MS: f64 = 400.0;

/// The spread of attempts of machines that are equally strong, in milliseconds.
const STAGGER_MS: u64 = 150;

/// Bytes of a row for each of its assignments at most: the encoding of one with its owner and a
/// former one.
const ROW_BYTES_PER_ASSIGNMENT: usize = 256;

/// What the control path is made of.
pub(crate) struct ControlPath {
    pub(crate) socket: PeerSocket,
    /// Starts the tasks behind the links.
    pub(crate) connect: Box<dyn FnOnce() -> PlatformChannels + Send>,
    pub(crate) control: mpsc::Sender<ControlInput>,
    pub(crate) inputs: mpsc::Receiver<ControlInput>,
    pub(crate) views: watch::Sender<Arc<View>>,
    pub(crate) sync_status: watch::Sender<SyncStatus>,
    pub(crate) metrics: EdgeMetrics,
}

impl ControlPath {
    /// Starts the control path on a thread of its own.
    ///
    /// There it gets its turns also while requests fill the processor; changes and grants have
    /// bounds that hold then as well.
    pub(crate) fn start(self, settings: &Settings) -> Arbiter {
        let me = DaemonIdentity {
            daemon: settings.daemon.clone(),
            incarnation: Incarnation(rand::random()),
            address: self.socket.address(),
        };
        let timing = GrantTiming::new(settings.bounds.hold_max_ms());
        let weakness = 1.0 - settings.machine.leader_capacity();
        let stagger_ms = (WEAKNESS_MS * weakness) as u64 + rand::random_range(0..STAGGER_MS);
        let row_assignments_max = (settings.row_max_bytes / ROW_BYTES_PER_ASSIGNMENT).max(1);
        let credential = settings.peer_credential.clone();
        let thread = Arbiter::new();
        thread.spawn_fn(move || {
            let PlatformChannels { store, orders } = (self.connect)();
            let (peers, outputs) = mpsc::channel(CHANNEL_MESSAGES);
            match PeerTask::new(self.socket, &credential, self.control.clone()) {
                Ok(peer) => drop(actix_rt::spawn(peer.run(outputs))),
                Err(error) => error!("no messages of other daemons: {error}"),
            }
            let links = ControlLinks {
                store,
                orders,
                control: self.control,
                peers,
                views: self.views,
                sync_status: self.sync_status,
                metrics: self.metrics,
                row_assignments_max,
            };
            let task = ControlTask::new(me, timing, stagger_ms, links);
            actix_rt::spawn(run(task, self.inputs));
        });
        thread
    }
}
