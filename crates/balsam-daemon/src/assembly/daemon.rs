//! One daemon, from its listeners to its end.

use super::RunError;
use super::control::{ControlTasks, start_control};
use super::error::{ListenSnafu, MetricsSnafu, TaskEndedSnafu};
use crate::config::{Config, Limits};
use crate::control::edge::BootClock;
use crate::metrics;
use crate::operator::{OperatorContext, OperatorListener};
use crate::peer::{ListenerHandle, PeerChannels, PeerSettings, start_client, start_listener};
use balsam_types::Incarnation;
use balsam_types::control::DaemonInfo;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Control requests of peers that wait for the control task.
const INCOMING_QUEUE: usize = 1_024;

/// Relayed requests that wait for the dispatch tasks.
const RELAY_QUEUE: usize = 1_024;

/// The addresses that a daemon listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Where operators connect.
    pub operator: SocketAddr,
    /// Where other daemons connect.
    pub peer: SocketAddr,
}

/// A running daemon; dropping it ends its tasks without leaving the roster.
#[derive(Debug)]
pub struct Daemon {
    addresses: Addresses,
    incarnation: Incarnation,
    limits: Limits,
    control: ControlTasks,
    peer_listener: ListenerHandle,
    operator_stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

/// Runs a daemon with the settings of `config` until `stop` is ready, and lets it end in order.
///
/// It must be called within an `actix_rt` system or arbiter.
///
/// # Errors
///
/// Returns a [`RunError`] if the daemon cannot start or one of its tasks fails.
pub async fn run(config: Config, stop: impl Future<Output = ()>) -> Result<(), RunError> {
    Daemon::start(config).await?.run(stop).await
}

impl Daemon {
    /// Binds the listeners and starts the tasks; the daemon then joins the roster by itself.
    ///
    /// # Errors
    ///
    /// Returns a [`RunError`] if a listener cannot be bound.
    pub async fn start(config: Config) -> Result<Self, RunError> {
        let limits = config.limits;
        let (_metrics, metrics_text) = metrics::start().context(MetricsSnafu)?;
        let peer_settings = PeerSettings {
            connections_max: limits.peer_connections,
            ..PeerSettings::new(config.peer_credential.expose())
        };
        let (incoming_sender, incoming) = mpsc::channel(INCOMING_QUEUE);
        let (relay_sender, _relays) = mpsc::channel(RELAY_QUEUE);
        let channels = PeerChannels {
            control: incoming_sender,
            relays: relay_sender,
        };
        let address = config.operator_listen;
        let operator = OperatorListener::bind(address, limits.operator_connections)
            .await
            .context(ListenSnafu {
                listener: "operator_listen",
                address,
            })?;
        let peer_client = start_client(&peer_settings);
        let address = config.peer_listen;
        let peer_listener = start_listener(address, peer_settings, channels)
            .await
            .context(ListenSnafu {
                listener: "peer_listen",
                address,
            })?;
        let incarnation = Incarnation(rand::random());
        let me = DaemonInfo {
            incarnation,
            peer_address: config.peer_advertise.unwrap_or(peer_listener.address),
            zone: config.zone,
        };
        let mut tasks = JoinSet::new();
        let control = start_control(me, config.platform, peer_client, incoming, &mut tasks);
        let context = OperatorContext {
            control: control.handle.clone(),
            clock: BootClock,
            credential: config.operator_credential,
            metrics: metrics_text,
        };
        let addresses = Addresses {
            operator: operator.address(),
            peer: peer_listener.address,
        };
        let (operator_stop, operator_stopped) = watch::channel(false);
        tasks.spawn_local(operator.run(context, operator_stopped));
        Ok(Self {
            addresses,
            incarnation,
            limits,
            control,
            peer_listener,
            operator_stop,
            tasks,
        })
    }

    /// Returns the bound addresses.
    pub const fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the daemon's incarnation.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Runs until `stop` is ready, then finishes the work in flight and leaves the roster.
    ///
    /// # Errors
    ///
    /// Returns a [`RunError`] if one of the daemon's tasks fails.
    pub async fn run(mut self, stop: impl Future<Output = ()>) -> Result<(), RunError> {
        tokio::select! {
            () = stop => {}
            Some(_) = self.tasks.join_next() => return TaskEndedSnafu.fail(),
        }
        self.leave().await;
        Ok(())
    }

    /// Leaves the roster while the operator and peer listeners still answer.
    async fn leave(self) {
        log::info!("stopping");
        self.control.handle.stop().await;
        let leave_wait = Duration::from_millis(self.limits.leave_ms);
        if timeout(leave_wait, self.control.left).await.is_err() {
            log::warn!("could not leave the roster in time");
        }
        let drain_wait = Duration::from_millis(self.limits.drain_ms);
        // No receiver is left if the listener has ended already.
        let _ = self.operator_stop.send(true);
        if timeout(drain_wait, self.peer_listener.stop())
            .await
            .is_err()
        {
            log::warn!("could not finish the requests of peers in time");
        }
        log::info!("stopped");
    }
}
