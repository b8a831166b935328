//! Starts the tasks of a daemon, connects them by channels, and stops them.

use crate::clock::now;
use crate::control::{ControlInput, ControlPath};
use crate::memory::{MemoryClient, MemoryTask};
use crate::metrics::EdgeMetrics;
use crate::operator::OperatorApi;
use crate::order::OrderRequest;
use crate::peer::PeerSocket;
use crate::pool::{PoolClient, PoolTask};
use crate::probe::{self, AdminEndpoint};
use crate::request::{
    FreshnessGate, HeaderNames, NoticeReader, Phase, Recorder, RequestContext, run_listener,
};
use crate::room::{KeeperTask, room_ports};
use crate::settings::{Listen, Settings};
use crate::store::StoreRequest;
use crate::view::{SyncStatus, View};
use actix_rt::Arbiter;
use balsam_decide::memory::MemoryTerms;
use balsam_decide::pool::PoolSettings;
use balsam_log::LostLines;
use balsam_metrics::MetricsError;
use balsam_types::{KeyHash, TimeMs};
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout_at};

/// Capacity of the channels to the control task and to the pool task.
const CHANNEL_CAPACITY: usize = 256;

/// Capacity of the channel to the task of the peer socket.
const PEER_CHANNEL_CAPACITY: usize = 1_024;

/// Upper limit on concurrent connections of callers. Each takes a file descriptor, as does each
/// connection to an upstream.
const CONNECTIONS_MAX: usize = 3_000;

/// How long the daemon keeps accepting connections after it reports that it is not ready. The
/// platform needs this time to stop sending new callers.
const READINESS_PROPAGATION: Duration = Duration::from_millis(2_500);

/// How long the control thread may take to send its final datagrams to other daemons.
const FINAL_SEND_TIME: Duration = Duration::from_millis(20);

/// Part of the grace period that is reserved for the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(500);

/// Channels on which the control path sends calls to the platform's adapter.
#[derive(Clone, Debug)]
pub struct PlatformChannels {
    /// Sends calls to the store.
    pub store: mpsc::Sender<StoreRequest>,
    /// Sends orders to upstreams.
    pub orders: mpsc::Sender<OrderRequest>,
}

/// What the platform's adapter provides to the daemon.
pub struct Adapter {
    /// Names of the header fields.
    pub names: HeaderNames,
    /// Reads what upstreams announce about themselves.
    pub read_notice: NoticeReader,
    /// Starts the adapter's tasks and returns their channels. Called on the thread of the control
    /// path.
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

/// Reason that a daemon cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// Metrics cannot be exported.
    #[snafu(display("{source}"))]
    Metrics {
        /// The cause.
        source: MetricsError,
    },
}

/// Addresses on which a running daemon listens. Ports that are configured as 0 are shown as the
/// system has assigned them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for readiness checks.
    pub readiness: SocketAddr,
    /// Listener for metrics and the operators' API.
    pub metrics: SocketAddr,
}

/// Bound sockets that have not been handed to their tasks yet.
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
        let (callers_address, callers) = bind(listen.callers).await?;
        let (readiness_address, readiness) = bind(listen.readiness).await?;
        let (metrics_address, metrics) = bind(listen.metrics).await?;
        let address = listen.peers;
        let peers = PeerSocket::bind(address).context(ListenSnafu { address })?;
        let addresses = Addresses {
            callers: callers_address,
            readiness: readiness_address,
            metrics: metrics_address,
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
            metrics: metrics_listener,
            addresses,
        } = Listeners::bind(settings.listen).await?;
        let (meter, text) = balsam_metrics::start().context(MetricsSnafu)?;
        let metrics = EdgeMetrics::new(&meter);
        let (control, inputs) = mpsc::channel(CHANNEL_CAPACITY);
        let (pool_tx, pool_rx) = mpsc::channel(CHANNEL_CAPACITY);
        let (views_tx, views) = watch::channel(Arc::new(View::default()));
        let (sync_status_tx, sync_status) = watch::channel(SyncStatus::unknown(now()));
        let (serves_until_tx, serves_until) = watch::channel(TimeMs(0));
        let (phase, phases) = watch::channel(Phase::Running);
        let (peers, peer_outputs) = mpsc::channel(PEER_CHANNEL_CAPACITY);
        let address = peer_socket.address();
        let room = room_ports(address, peers.clone(), metrics.clone());
        let control_thread = ControlPath {
            socket: peer_socket,
            connect: adapter.connect,
            control: control.clone(),
            inputs,
            views: views_tx,
            sync_status: sync_status_tx,
            serves_until: serves_until_tx,
            metrics: metrics.clone(),
            peers,
            outputs: peer_outputs,
            room: room.channels,
            keeper: KeeperTask::new(address, room.link.clone(), metrics.clone()),
            keeper_messages: room.keeper,
        }
        .start(settings);
        let pool = PoolSettings {
            zone: settings.zone.clone(),
            budget: settings.bounds.budget(),
            drain_ms: settings.bounds.drain_ms(),
            seed: KeyHash::of(settings.daemon.as_str()).0,
            room_daemons_per_slot: settings.room_daemons_per_slot,
            first_permit_id: u64::from(rand::random::<u32>()) << u32::BITS,
        };
        actix_rt::spawn(PoolTask::run(
            pool,
            pool_rx,
            views.clone(),
            control.clone(),
            (room.link, room.pool),
            metrics.clone(),
        ));
        let pool = PoolClient::new(pool_tx);
        let (memory, connections_max) = start_memory(settings, &metrics);
        let request_context = RequestContext {
            names: adapter.names,
            read_notice: adapter.read_notice,
            views: views.clone(),
            freshness: FreshnessGate::new(serves_until, metrics.clone()),
            pool: pool.clone(),
            control: control.clone(),
            memory,
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
        actix_rt::spawn(probe::run(metrics_listener, metrics_endpoint));
        let grace = grace(settings);
        let drain = grace.saturating_sub(READINESS_PROPAGATION);
        let listener = run_listener(callers, request_context, phases, connections_max, drain);
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

    /// Returns the addresses on which the daemon listens.
    pub const fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Applies changed settings to the running daemon: the log level, the grace period and the
    /// retry budget.
    ///
    /// Returns the changed fields that take effect only after a restart.
    pub async fn reload(&mut self, settings: &Settings) -> Vec<&'static str> {
        log::set_max_level(settings.log_level);
        self.pool.set_budget(settings.bounds.budget()).await;
        self.grace = grace(settings);
        let not_applied = self.settings.changes_requiring_restart(settings);
        self.settings.bounds = settings.bounds;
        not_applied
    }

    /// Stops the daemon gracefully: it reports that it is not ready, completes the requests in
    /// flight and ends within the grace period.
    pub async fn stop(self) {
        let end = Instant::now() + self.grace;
        self.phase.send_replace(Phase::Leaving);
        let (stepped_down_tx, stepped_down) = oneshot::channel();
        // If the control task has already ended, there is no leadership to hand over.
        drop(
            self.control
                .send(ControlInput::StepDown(stepped_down_tx))
                .await,
        );
        sleep(READINESS_PROPAGATION.min(self.grace)).await;
        self.phase.send_replace(Phase::Closing);
        // The listener limits its own drain to the rest of the grace period.
        drop(self.listener.await);
        // Wait for another leader: without the store none can be elected, and only this daemon can
        // renew the grants of the upstreams meanwhile.
        drop(timeout_at(end, stepped_down).await);
        drop(self.control.send(ControlInput::Stop).await);
        sleep(FINAL_SEND_TIME).await;
        self.control_thread.stop();
    }
}

/// Starts the memory budget, if the machine's memory is configured. Returns its handle and the
/// number of connections that callers may have.
fn start_memory(settings: &Settings, metrics: &EdgeMetrics) -> (MemoryClient, usize) {
    match settings.machine.memory_whole_mb() {
        Some(memory_mb) => {
            let terms = MemoryTerms::of_machine(memory_mb);
            let connections_max = MemoryTerms::connections_max(memory_mb).min(CONNECTIONS_MAX);
            (MemoryTask::start(terms, metrics.clone()), connections_max)
        }
        None => (MemoryClient::Unlimited, CONNECTIONS_MAX),
    }
}

/// Returns how long requests may continue after the daemon was asked to stop.
fn grace(settings: &Settings) -> Duration {
    Duration::from_millis(settings.bounds.grace_ms()).saturating_sub(EXIT_RESERVE)
}
