//! The control task: owns the routing state of the daemon and the state of the leader election.

use super::ControlInput;
use super::act::Executor;
use super::events::{self, ControlEvent, PendingOrder, RowSource};
use super::follow::{FollowParams, TableFollower};
use super::moved;
use super::tables::TableOutage;
use crate::clock::now;
use crate::metrics::EdgeMetrics;
use crate::peer::{PeerOutput, SnapshotAssembler};
use crate::store::{StoreClient, StoreRequest, StoreTable};
use crate::view::{SyncStatus, View};
use balsam_decide::crashes::{CrashTracker, TrackerInput};
use balsam_decide::directory::{Directory, DirectoryInput};
use balsam_decide::feed::{
    FEED_LEADER_LONG_POLL_MS, Feed, FeedSource, FeedTable, MissingVersions, SnapshotBudget,
};
use balsam_decide::keys::{
    Assigner, AssignerInput, AssignerOutput, DaemonIdentity, GrantTiming, OrderId,
};
use balsam_decide::peers::PeerRegistry;
use balsam_decide::room::KeeperElection;
use balsam_types::{
    FencingToken, Incarnation, Map, RoutingConfig, ServiceName, ServiceRanges, Set, TimeMs,
    ZoneName, new_map, new_set,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

/// Interval of the timer of the control task, in milliseconds. Orders are sent and entries expire
/// at most this much late.
const TICK_MS: u64 = 50;

/// State of the control task.
#[derive(Debug)]
pub(crate) struct ControlTask {
    /// This daemon as it appears in the leader row if it is elected.
    pub(super) this_daemon: DaemonIdentity,
    pub(super) executor: Executor,
    pub(super) peers: mpsc::Sender<PeerOutput>,
    pub(super) views: watch::Sender<Arc<View>>,
    pub(super) sync_status: watch::Sender<SyncStatus>,
    pub(super) metrics: EdgeMetrics,
    pub(super) view: View,
    pub(super) directory: Directory,
    pub(super) assigner: Assigner,
    pub(super) peer_registry: PeerRegistry,
    /// The incarnations of the daemons that have greeted this one.
    pub(super) greeted_by: Map<SocketAddr, Incarnation>,
    pub(super) config: Option<RoutingConfig>,
    pub(super) snapshots: SnapshotAssembler,
    pub(super) watch: CrashTracker,
    /// Services whose newest assignments are missing, and since when.
    pub(super) missing_ranges: MissingVersions<ServiceName>,
    /// When a snapshot was last requested.
    pub(super) asked_at: TimeMs,
    /// Orders that were sent and have no result yet.
    pub(super) pending_orders: Map<OrderId, PendingOrder>,
    /// Moves that are complete at the upstreams and not announced yet.
    pub(super) moved: Map<ServiceName, Vec<FencingToken>>,
    pub(super) moves_announced_at: TimeMs,
    pub(super) feed: Feed,
    pub(super) snapshot_budget: SnapshotBudget,
    pub(super) follow_params: Map<FeedTable, watch::Sender<FollowParams>>,
    pub(super) serves_until: watch::Sender<TimeMs>,
    /// Since when requests are held because the tables may be too old.
    pub(super) outdated_since: Option<TimeMs>,
    /// Number of updates of each table that were handled.
    pub(super) updates_handled: Map<FeedTable, u64>,
    /// Tables that were read from a restored store and not sent to the other daemons yet.
    pub(super) restored_tables: Set<FeedTable>,
    /// Tables whose reads from the store fail.
    pub(super) outages: Map<StoreTable, TableOutage>,
    pub(super) next_heartbeat_at: TimeMs,
    pub(super) next_hello_at: TimeMs,
    /// Whether this daemon was the leader after the last input.
    pub(super) was_leading: bool,
    /// Notified once this stopping daemon is not the leader any more.
    pub(super) stepped_down: Option<oneshot::Sender<()>>,
    /// Whether the daemon is about to stop.
    pub(super) is_leaving: bool,
    /// Number of daemons in the deployment, or 0 while it is not known.
    pub(super) daemons: u32,
    pub(super) keeper_election: KeeperElection,
    pub(super) zone: ZoneName,
    /// Strength of this daemon as a keeper of the room of upstreams, if it needs keepers.
    pub(super) keeper_weight: Option<u16>,
    /// Time after the acknowledgement of an evacuation from which on no request may reach the zone,
    /// in milliseconds.
    pub(super) evacuation_ms: u64,
    /// The last reported number of keys whose owner is in an evacuated zone.
    pub(super) evacuating_keys: u64,
}

/// Channels and handles that the control task uses.
#[derive(Debug)]
pub(crate) struct ControlChannels {
    pub(crate) store: mpsc::Sender<StoreRequest>,
    pub(crate) orders: mpsc::Sender<crate::order::OrderRequest>,
    pub(crate) control: mpsc::Sender<ControlInput>,
    pub(crate) peers: mpsc::Sender<PeerOutput>,
    pub(crate) views: watch::Sender<Arc<View>>,
    pub(crate) sync_status: watch::Sender<SyncStatus>,
    /// Until when requests may be served from the published view.
    pub(crate) serves_until: watch::Sender<TimeMs>,
    pub(crate) metrics: EdgeMetrics,
    /// Number of assignments that fit into one row of the store.
    pub(crate) row_assignments_max: usize,
    /// Availability zone of this daemon.
    pub(crate) zone: ZoneName,
    /// Strength of this daemon as a keeper of the room of upstreams, if it needs keepers.
    pub(crate) keeper_weight: Option<u16>,
    /// Time after the acknowledgement of an evacuation from which on no request may reach the zone,
    /// in milliseconds.
    pub(crate) evacuation_ms: u64,
}

/// When a daemon makes its first calls to the store, and when it tries to become leader.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartDelays {
    /// Delay of each attempt to become leader, in milliseconds.
    pub(crate) election_ms: u64,
    /// Delay until the daemon looks up the leader, in milliseconds.
    pub(crate) first_read_ms: u64,
    /// Whether the whole deployment starts for the first time.
    pub(crate) is_first_start: bool,
}

impl ControlTask {
    /// Creates the task of a daemon.
    pub(crate) fn new(
        this_daemon: DaemonIdentity,
        timing: GrantTiming,
        delays: StartDelays,
        feed: Feed,
        snapshot_bytes_per_s: u64,
        channels: ControlChannels,
    ) -> Self {
        let assigner = Assigner::new(now(), this_daemon.clone(), timing, delays.election_ms)
            .with_first_read_delay(delays.first_read_ms)
            .with_first_start(delays.is_first_start);
        channels.metrics.zone_evacuated(&channels.zone, false);
        channels.metrics.evacuating_keys(0);
        Self {
            this_daemon,
            executor: Executor {
                store: StoreClient::new(channels.store, channels.metrics.clone()),
                orders: channels.orders,
                control: channels.control,
                row_assignments_max: channels.row_assignments_max,
            },
            peers: channels.peers,
            views: channels.views,
            sync_status: channels.sync_status,
            metrics: channels.metrics,
            view: View::default(),
            directory: Directory::new(),
            assigner,
            peer_registry: PeerRegistry::new(),
            greeted_by: new_map(),
            config: None,
            snapshots: SnapshotAssembler::new(),
            watch: CrashTracker::new(),
            missing_ranges: MissingVersions::new(),
            asked_at: TimeMs(0),
            pending_orders: new_map(),
            moved: new_map(),
            moves_announced_at: now(),
            feed,
            snapshot_budget: SnapshotBudget::new(snapshot_bytes_per_s),
            follow_params: new_map(),
            serves_until: channels.serves_until,
            outdated_since: None,
            updates_handled: new_map(),
            restored_tables: new_set(),
            outages: new_map(),
            next_heartbeat_at: now(),
            next_hello_at: now(),
            was_leading: false,
            stepped_down: None,
            is_leaving: false,
            daemons: 0,
            keeper_election: KeeperElection::new(),
            zone: channels.zone,
            keeper_weight: channels.keeper_weight,
            evacuation_ms: channels.evacuation_ms,
            evacuating_keys: 0,
        }
    }
}

/// Runs the control task until its input channel is closed.
pub(crate) async fn run(mut task: ControlTask, mut inputs: mpsc::Receiver<ControlInput>) {
    for table in FeedTable::ALL {
        let (orders, ordered) = watch::channel(FollowParams::default());
        let follower = TableFollower::new(table, task.executor.store.clone(), ordered);
        actix_rt::spawn(follower.run(task.executor.control.clone()));
        task.follow_params.insert(table, orders);
    }
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            input = inputs.recv() => match input {
                Some(input) => task.handle(input),
                None => return,
            },
            _ = ticks.tick() => task.tick(),
        }
        task.broadcast_reading();
        task.publish_freshness();
        task.update_followers();
    }
}

impl ControlTask {
    fn handle(&mut self, input: ControlInput) {
        match input {
            ControlInput::Store {
                table,
                asked_at,
                update,
            } => {
                *self.updates_handled.entry(table).or_default() += 1;
                self.follow(table, asked_at, update);
            }
            ControlInput::Committed(result) => {
                events::committed(result);
                let before = self.known_ranges();
                self.decide(AssignerInput::Committed(result));
                self.publish_ranges();
                self.push_ranges(&before);
            }
            ControlInput::Confirmed { asked_at, read } => {
                if let Some((_, store_now)) = read {
                    self.feed.record_clock(now(), asked_at, store_now);
                }
                let version = read.map(|(version, _)| version);
                self.decide(AssignerInput::Confirmed { asked_at, version });
            }
            ControlInput::Reloaded {
                asked_at,
                read: Ok(page),
            } => {
                self.feed.record_clock(now(), asked_at, page.store_now);
                self.end_outage(StoreTable::Cluster, page.version);
                self.apply_cluster_rows(page);
                self.decide(AssignerInput::Reloaded);
            }
            ControlInput::Reloaded {
                read: Err(error), ..
            } => {
                self.record_outage(StoreTable::Cluster, &error);
                self.decide(AssignerInput::ReloadFailed);
            }
            ControlInput::Ordered { id, result } => {
                if let Some(pending_order) = self.pending_orders.remove(&id) {
                    events::ordered(now(), &pending_order, &result);
                }
                self.decide(AssignerInput::Ordered { id, result });
            }
            ControlInput::Peer { from, message } => self.handle_peer_message(from, message),
            ControlInput::Sampled { service, report } => self.forward_load_report(service, report),
            ControlInput::StepDown(stepped_down) => self.step_down(stepped_down),
            ControlInput::Stop => self.resign(),
            ControlInput::Watch(input) => self.watch(None, input),
            ControlInput::NotHeld { service, key } => {
                self.decide(AssignerInput::NotHeld { service, key });
            }
        }
    }

    /// Tells the follower of each table whether to read the store, and from which version on.
    fn update_followers(&self) {
        let is_leader = self.assigner.is_leading();
        for (table, orders) in &self.follow_params {
            let order = FollowParams {
                source: if is_leader {
                    FeedSource::Store
                } else {
                    self.feed.source(now(), *table)
                },
                seen: self.feed.seen(*table),
                // Other daemons call the store to learn at once whether their table is current.
                wait_ms: if is_leader {
                    FEED_LEADER_LONG_POLL_MS
                } else {
                    0
                },
                handled: self.updates_handled.get(table).copied().unwrap_or_default(),
            };
            orders.send_if_modified(|known| {
                let has_changed = known.source != order.source || known.handled != order.handled;
                *known = order;
                has_changed
            });
        }
    }

    fn tick(&mut self) {
        let now = now();
        if let Some(upstreams) = self.directory.handle(now, DirectoryInput::Tick) {
            self.adopt_upstreams(upstreams);
        }
        self.log_upstream_notices(RowSource::Clock);
        self.send_due_heartbeats(now);
        self.publish_keepers(now);
        self.request_missing_snapshots(now);
        self.watch(None, TrackerInput::Tick);
        self.decide(AssignerInput::Tick);
        self.announce_moved(now);
    }

    /// Passes the upstreams and the keyed services of the configuration to the assigner.
    pub(super) fn refresh_assigner(&mut self) {
        let keyed = self
            .view
            .table
            .iter()
            .flat_map(|table| table.keyed_services().cloned());
        let keyed = keyed.collect();
        let upstreams = Arc::clone(&self.view.upstreams);
        self.decide(AssignerInput::Cluster { upstreams, keyed });
    }

    /// Passes an input to the assigner, executes its decisions and reports changes of leadership.
    pub(super) fn decide(&mut self, input: AssignerInput) {
        let outputs = self.assigner.handle(now(), input);
        for freed in self.assigner.take_freed() {
            events::freed(&freed);
        }
        for output in outputs {
            events::commit_started(&output);
            match output {
                AssignerOutput::Commit(commit) => self.executor.commit(commit),
                AssignerOutput::Reload => self.executor.reload(),
                AssignerOutput::Confirm => self.executor.confirm(),
                AssignerOutput::Moved { service, fence } => {
                    self.moved.entry(service).or_default().push(fence);
                }
                AssignerOutput::Order(order) => {
                    let pending_order = PendingOrder {
                        upstream: order.to.upstream.clone(),
                        range: order.range,
                        fence: order.fence.0,
                        kind: order.kind.clone(),
                        ends_move: order.ends_move,
                        decided_at: now(),
                    };
                    self.pending_orders.insert(order.id, pending_order);
                    let table = self.view.table.as_ref();
                    let policy = table.and_then(|table| table.service(&order.service));
                    let health_check = policy.and_then(|policy| policy.health_check.clone());
                    self.executor.order(order, health_check);
                }
            }
        }
        let leading = self.assigner.is_leading();
        if leading != self.was_leading {
            self.was_leading = leading;
            self.metrics.leader(leading);
            ControlEvent::Leading { leading }.emit();
            self.push_restored_tables();
        }
        if let Some(stepped_down) = self.stepped_down.take_if(|_| !leading) {
            // The receiver is gone if the daemon no longer waits for the end of its leadership.
            let _was_received = stepped_down.send(()).is_ok();
        }
    }

    /// Returns the known assignments with their versions.
    fn known_ranges(&self) -> Map<ServiceName, (u64, Arc<ServiceRanges>)> {
        let known = self.view.ranges.keys().filter_map(|service| {
            let stored = self.assigner.stored(service)?;
            Some((
                service.clone(),
                (stored.version.0, Arc::clone(&stored.ranges)),
            ))
        });
        known.collect()
    }

    /// Publishes the view if the assignments or the number of daemons have changed.
    pub(super) fn publish_ranges(&mut self) {
        let services = self
            .view
            .table
            .iter()
            .flat_map(|table| table.keyed_services().cloned());
        let services: Vec<ServiceName> = services.collect();
        let mut changed = false;
        for service in services {
            let Some(stored) = self.assigner.stored(&service) else {
                continue;
            };
            let known = self.view.ranges.get(&service);
            if known.is_none_or(|known| !Arc::ptr_eq(known, &stored.ranges)) {
                let ranges = Arc::clone(&stored.ranges);
                moved::remove_committed(&mut self.view.moved, &ranges);
                self.view.ranges.insert(service, ranges);
                changed = true;
            }
        }
        changed |= self.view.daemons != self.daemons.max(1);
        self.view.daemons = self.daemons.max(1);
        if changed {
            self.publish();
        }
    }

    /// Publishes the view to the request tasks and sets the gauges of the routing state.
    pub(super) fn publish(&mut self) {
        self.report_evacuating_keys();
        let version = self
            .view
            .table
            .as_ref()
            .map_or(0, |table| table.version().0);
        let assignments = self
            .view
            .ranges
            .values()
            .flat_map(|ranges| &ranges.assignments);
        let moving = assignments
            .filter(|assignment| assignment.is_moving())
            .count();
        let ranges = self.view.ranges.values();
        let ranges = ranges.map(|ranges| ranges.assignments.len()).sum();
        let upstreams = self.view.upstreams.len();
        self.metrics
            .routing_state(version, upstreams, ranges, moving);
        self.views.send_replace(Arc::new(self.view.clone()));
    }
}
