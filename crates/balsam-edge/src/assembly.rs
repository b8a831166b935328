//! Puts the tasks of a daemon together.

use crate::clock::now;
use crate::control::{ControlInput, ControlPath};
use crate::metrics::EdgeMetrics;
use crate::operator::OperatorApi;
use crate::order::OrderRequest;
use crate::peer::PeerSocket;
use crate::pool::{PoolClient, PoolTask};
use crate::probe::{self, AdminEndpoint};
use crate::request::{HeaderNames, Phase, Recorder, RequestContext, run_listener};
use crate::settings::{Listen, Settings};
use crate::store::StoreRequest;
use crate::view::{SyncStatus, View};
use actix_rt::Arbiter;
use balsam_decide::pool::PoolSettings;
use balsam_log::LostLines;
use balsam_metrics::MetricsError;
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout_at};

/// Messages that wait for a task.
const CHANNEL_MESSAGES: usize = 256;

/// Callers' connections at once; each needs a descriptor, as do connections to upstreams.
const CONNECTIONS_MAX: usize = 3_000;

/// How long the platform needs to notice that a daemon is not ready any more.
const LEAVE_TIME: Duration = Duration::from_millis(2_500);

/// The time for the last messages to other daemons.
const LAST_WORDS_TIME: Duration = Duration::from_millis(20);

/// The part of the grace time that is left for the end of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(500);

/// Where the control path sends its calls to the platform.
#[derive(Clone, Debug)]
pub struct PlatformChannels {
    /// Takes calls to the store.
    pub store: mpsc::Sender<StoreRequest>,
    /// Takes orders to upstreams.
    pub orders: mpsc::Sender<OrderRequest>,
}

/// What the adapter to the platform provides.
pub struct Adapter {
    /// The names of header fields.
    pub names: HeaderNames,
    /// Starts the tasks behind the links; called on the thread of the control path.
    pub connect: Box<dyn FnOnce() -> PlatformChannels + Send>,
    /// Counts the log lines that were dropped.
    pub lost_lines: LostLines,
}

impl std::fmt::Debug for Adapter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Adapter")
            .field("names", &self.names)
            .finish_non_exhaustive()
    }
}

/// Why a daemon cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// Metrics cannot be exported.
    #[snafu(display("{source}"))]
    Metrics {
        /// Why.
        source: MetricsError,
    },
}

/// Where a running daemon listens; the ports may have been chosen by the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For readiness checks.
    pub readiness: SocketAddr,
    /// For readers of metrics.
    pub metrics: SocketAddr,
}

/// The bound sockets of a daemon that no task owns yet.
struct Listeners {
    callers: TcpListener,
    readiness: TcpListener,
    peers: PeerSocket,
    metrics: TcpListener,
    addresses: Addresses,
}

impl Listeners {
    async fn bind(listen: Listen) -> Result<Self, StartError> {
        let bind = |address| async move {
            let bound = TcpListener::bind(address).await;
            let bound = bound.and_then(|listener| Ok((listener.local_addr()?, listener)));
            bound.context(ListenSnafu { address })
        };
        let (callers_at, callers) = bind(listen.callers).await?;
        let (readiness_at, readiness) = bind(listen.readiness).await?;
        let (metrics_at, metrics) = bind(listen.metrics).await?;
        let address = listen.peers;
        let peers = PeerSocket::bind(address).context(ListenSnafu { address })?;
        let addresses = Addresses {
            callers: callers_at,
            readiness: readiness_at,
            metrics: metrics_at,
        };
        Ok(Self {
            callers,
            readiness,
            peers,
            metrics,
            addresses,
        })
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct Edge {
    phase: watch::Sender<Phase>,
    listener: JoinHandle<()>,
    control: mpsc::Sender<ControlInput>,
    control_thread: Arbiter,
    pool: PoolClient,
    settings: Settings,
    grace: Duration,
    addresses: Addresses,
}

impl Edge {
    /// Starts the tasks of a daemon.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if an address cannot be bound.
    pub async fn start(settings: &Settings, adapter: Adapter) -> Result<Self, StartError> {
        let Listeners {
            callers,
            readiness,
            peers: peer_socket,
            metrics: exports,
            addresses,
        } = Listeners::bind(settings.listen).await?;
        let (meter, text) = balsam_metrics::start().context(MetricsSnafu)?;
        let metrics = EdgeMetrics::new(&meter);
        let (control, inputs) = mpsc::channel(CHANNEL_MESSAGES);
        let (messages, wanted) = mpsc::channel(CHANNEL_MESSAGES);
        let (publisher, views) = watch::channel(Arc::new(View::default()));
        let (sync_status_tx, sync_status) = watch::channel(SyncStatus::unknown(now()));
        let (phase, phases) = watch::channel(Phase::Running);
        let control_thread = ControlPath {
            socket: peer_socket,
            connect: adapter.connect,
            control: control.clone(),
            inputs,
            views: publisher,
            sync_status: sync_status_tx,
            metrics: metrics.clone(),
        }
        .start(settings);
        let pool = PoolSettings {
            zone: settings.zone.clone(),
            budget: settings.bounds.budget(),
        };
        actix_rt::spawn(PoolTask::run(
            pool,
            wanted,
            views.clone(),
            control.clone(),
            metrics.clone(),
        ));
        let pool = PoolClient::new(messages);
        let request_context = RequestContext {
            names: adapter.names,
            views: views.clone(),
            pool: pool.clone(),
            control: control.clone(),
            recorder: Recorder::new(metrics.clone()),
        };
        let readiness_phase = phases.clone();
        let operator = OperatorApi {
            daemon: settings.daemon.clone(),
            credential: settings.operator_credential.clone(),
            views: views.clone(),
            sync_status,
        };
        let readiness_endpoint = AdminEndpoint::Readiness {
            views,
            phase: readiness_phase,
        };
        actix_rt::spawn(probe::run(readiness, readiness_endpoint));
        let lost_lines = adapter.lost_lines;
        let metrics_endpoint = AdminEndpoint::Metrics {
            metrics,
            text,
            lost_lines,
            operator,
        };
        actix_rt::spawn(probe::run(exports, metrics_endpoint));
        let grace = grace(settings);
        let drain = grace.saturating_sub(LEAVE_TIME);
        let listener = run_listener(callers, request_context, phases, CONNECTIONS_MAX, drain);
        Ok(Self {
            phase,
            listener: actix_rt::spawn(listener),
            control,
            control_thread,
            pool,
            settings: settings.clone(),
            grace,
            addresses,
        })
    }

    /// Returns where the daemon listens.
    pub const fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Takes changed settings while the daemon runs: the log level, the grace time and the budget.
    ///
    /// Returns the changed fields that are taken only by a new start.
    pub async fn reload(&mut self, settings: &Settings) -> Vec<&'static str> {
        log::set_max_level(settings.log_level);
        self.pool.set_budget(settings.bounds.budget()).await;
        self.grace = grace(settings);
        let kept = self.settings.changes_requiring_restart(settings);
        self.settings.bounds = settings.bounds;
        kept
    }

    /// Stops the daemon in order: it leaves the platform's rotation, finishes the requests in
    /// flight and ends within the grace time.
    pub async fn stop(self) {
        let end = Instant::now() + self.grace;
        self.phase.send_replace(Phase::Leaving);
        let (replaced, is_replaced) = oneshot::channel();
        // A control task that has ended has nothing to hand over.
        drop(self.control.send(ControlInput::StepDown(replaced)).await);
        sleep(LEAVE_TIME.min(self.grace)).await;
        self.phase.send_replace(Phase::Closing);
        // The listener ends by itself within the rest of the grace time.
        drop(self.listener.await);
        // While the store is away no other daemon can renew the keys of upstreams.
        drop(timeout_at(end, is_replaced).await);
        drop(self.control.send(ControlInput::Stop).await);
        sleep(LAST_WORDS_TIME).await;
        self.control_thread.stop();
    }
}

/// Returns the time from the request to stop in which requests may go on.
fn grace(settings: &Settings) -> Duration {
    Duration::from_millis(settings.bounds.grace_ms()).saturating_sub(EXIT_RESERVE)
}
