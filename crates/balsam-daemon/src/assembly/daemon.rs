//! The daemon: starts its listeners and tasks, and shuts them down.

use super::RunError;
use super::control::{ControlTasks, start_control};
use super::error::{ListenSnafu, MetricsSnafu, TaskEndedSnafu};
use crate::config::{Config, Limits};
use crate::control::edge::BootClock;
use crate::metrics::{self, MetricsText};
use crate::operator::{OperatorContext, OperatorListener};
use crate::peer::{
    IncomingControl, IncomingRelay, ListenerHandle, PeerChannels, PeerClient, PeerSettings,
    start_client, start_listener,
};
use crate::request::{self, RequestChannels, RequestHandles, RequestSettings};
use balsam_types::Incarnation;
use balsam_types::control::DaemonInfo;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// The capacity of the queue of peers' control requests for the control task.
const CONTROL_QUEUE_CAPACITY: usize = 1_024;

/// The capacity of the queue of relayed requests for the dispatch tasks.
const RELAY_QUEUE_CAPACITY: usize = 1_024;

/// How long shutdown waits for the operators' requests in progress.
const OPERATOR_STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// The addresses that a daemon listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// The listener for callers.
    pub caller: SocketAddr,
    /// The listener for operators.
    pub operator: SocketAddr,
    /// The listener for other daemons.
    pub peer: SocketAddr,
}

/// A running daemon.
///
/// Dropping it ends its tasks without leaving the roster.
#[derive(Debug)]
pub struct Daemon {
    addresses: Addresses,
    incarnation: Incarnation,
    limits: Limits,
    requests: RequestHandles,
    control: ControlTasks,
    peer_listener: ListenerHandle,
    operator_stop: watch::Sender<bool>,
    operator_tasks: JoinSet<()>,
    control_tasks: JoinSet<()>,
}

/// Runs a daemon with the settings of `config` until `stop` completes, then shuts it down in order.
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
    /// Binds the listeners and starts the tasks, which then join the roster in the background.
    ///
    /// # Errors
    ///
    /// Returns a [`RunError`] if the metrics cannot be set up or a listener cannot be bound.
    pub async fn start(config: Config) -> Result<Self, RunError> {
        let mut control_tasks = JoinSet::new();
        let (instruments, metrics_text) = metrics::start().context(MetricsSnafu)?;
        let operator = bind_operator(&config).await?;
        let peers = start_peers(&config).await?;
        let incarnation = Incarnation(rand::random());
        let me = DaemonInfo {
            incarnation,
            peer_address: config.peer_advertise.unwrap_or(peers.listener.address),
            zone: config.zone.clone(),
        };
        let client = peers.client.clone();
        let incoming = peers.incoming;
        let control = start_control(me, config.platform, client, incoming, &mut control_tasks);
        let channels = RequestChannels {
            control: control.handle.clone(),
            table: control.table.clone(),
            peers: peers.client,
            relays: peers.relays,
            metrics: instruments,
        };
        let requests = start_requests(&config, &control, channels).await?;
        let addresses = Addresses {
            caller: requests.caller_address,
            operator: operator.address(),
            peer: peers.listener.address,
        };
        let context = operator_context(&config, &control, metrics_text);
        let (operator_stop, operator_stopped) = watch::channel(false);
        let mut operator_tasks = JoinSet::new();
        operator_tasks.spawn_local(operator.run(context, operator_stopped));
        Ok(Self {
            addresses,
            incarnation,
            limits: config.limits,
            requests,
            control,
            peer_listener: peers.listener,
            operator_stop,
            operator_tasks,
            control_tasks,
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

    /// Runs until `stop` completes, then finishes the requests in progress and leaves the roster.
    ///
    /// # Errors
    ///
    /// Returns a [`RunError`] if one of the daemon's tasks ends before `stop` completes.
    pub async fn run(mut self, stop: impl Future<Output = ()>) -> Result<(), RunError> {
        tokio::select! {
            () = stop => {}
            Some(_) = self.control_tasks.join_next() => return TaskEndedSnafu.fail(),
            Some(_) = self.operator_tasks.join_next() => return TaskEndedSnafu.fail(),
        }
        self.shut_down().await;
        Ok(())
    }

    /// Shuts the daemon down in order.
    ///
    /// It finishes callers' requests first, because they need the freshness lease, then leaves the
    /// roster, and then finishes the requests that other daemons relayed.
    ///
    /// The control tasks end before the operator listener, so that commands that still wait get the
    /// error that the daemon is stopping.
    async fn shut_down(mut self) {
        log::info!("stopping");
        self.requests.stop().await;
        let left_roster = leave_roster(self.control);
        if timeout(Duration::from_millis(self.limits.leave_ms), left_roster)
            .await
            .is_err()
        {
            log::warn!("did not leave the roster within the limit leave_ms");
        }
        let drain_timeout = Duration::from_millis(self.limits.drain_ms);
        if timeout(drain_timeout, self.peer_listener.stop())
            .await
            .is_err()
        {
            log::warn!("did not finish the requests of peers within the limit drain_ms");
        }
        self.control_tasks.shutdown().await;
        // Sending fails only if the listener has already ended.
        let _ = self.operator_stop.send(true);
        let operator_tasks_ended =
            async { while self.operator_tasks.join_next().await.is_some() {} };
        if timeout(OPERATOR_STOP_TIMEOUT, operator_tasks_ended)
            .await
            .is_err()
        {
            log::warn!("did not finish the requests of operators in time");
        }
        log::info!("stopped");
    }
}

async fn leave_roster(control: ControlTasks) {
    control.handle.stop().await;
    // Receiving fails only if the control task has ended, and then there is nothing to wait for.
    let _ = control.left_roster.await;
}

/// The peer transport and the receivers of its incoming requests.
struct Peers {
    client: PeerClient,
    listener: ListenerHandle,
    incoming: mpsc::Receiver<IncomingControl>,
    relays: mpsc::Receiver<IncomingRelay>,
}

async fn start_peers(config: &Config) -> Result<Peers, RunError> {
    let settings = PeerSettings {
        connections_max: config.limits.peer_connections,
        ..PeerSettings::new(config.peer_credential.expose())
    };
    let (control, incoming) = mpsc::channel(CONTROL_QUEUE_CAPACITY);
    let (relay_sender, relays) = mpsc::channel(RELAY_QUEUE_CAPACITY);
    let channels = PeerChannels {
        control,
        relays: relay_sender,
    };
    let client = start_client(&settings);
    let address = config.peer_listen;
    let listener = start_listener(address, settings, channels).await;
    let listener = listener.context(ListenSnafu {
        listener: "peer_listen",
        address,
    })?;
    Ok(Peers {
        client,
        listener,
        incoming,
        relays,
    })
}

async fn start_requests(
    config: &Config,
    control: &ControlTasks,
    channels: RequestChannels,
) -> Result<RequestHandles, RunError> {
    let address = config.caller_listen;
    let settings = RequestSettings {
        connections_max: config.limits.caller_connections,
        header_max_bytes: config.limits.header_bytes,
        keep_alive_ms: config.limits.keep_alive_ms,
        grace_ms: config.limits.grace_ms,
        drain_ms: config.limits.drain_ms,
        ..RequestSettings::new(address)
    };
    let started = request::start(settings, control.handle.views(), channels).await;
    started.context(ListenSnafu {
        listener: "caller_listen",
        address,
    })
}

async fn bind_operator(config: &Config) -> Result<OperatorListener, RunError> {
    let address = config.operator_listen;
    let bound = OperatorListener::bind(address, config.limits.operator_connections).await;
    bound.context(ListenSnafu {
        listener: "operator_listen",
        address,
    })
}

fn operator_context(
    config: &Config,
    control: &ControlTasks,
    metrics: MetricsText,
) -> OperatorContext<BootClock> {
    OperatorContext {
        control: control.handle.clone(),
        clock: BootClock,
        credential: config.operator_credential.clone(),
        metrics,
    }
}
