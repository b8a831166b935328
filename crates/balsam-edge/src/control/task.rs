//! The control task: owns what the daemon believes.

use super::ControlInput;
use super::act::Actor;
use super::follow::{FollowOrder, Follower};
use super::lines::{self, ControlLine, OrderNote, RowSource};
use super::moved;
use crate::clock::now;
use crate::metrics::EdgeMetrics;
use crate::peer::{PeerOutput, SnapshotAssembler};
use crate::store::{StoreClient, StoreRequest};
use crate::view::{SyncStatus, View};
use balsam_decide::crashes::{CrashTracker, TrackerInput};
use balsam_decide::directory::{Directory, DirectoryInput};
use balsam_decide::feed::{
    FEED_LEADER_LONG_POLL_MS, FEED_PEER_LONG_POLL_MS, Feed, FeedSource, FeedTable,
};
use balsam_decide::keys::{
    Assigner, AssignerInput, AssignerOutput, DaemonIdentity, GrantTiming, OrderId,
};
use balsam_decide::peers::PeerRegistry;
use balsam_types::{FencingToken, Map, RoutingConfig, ServiceName, ServiceRanges, TimeMs, new_map};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

/// The time between two looks at what is due, in milliseconds; orders and lapses are due to within
/// this time.
const TICK_MS: u64 = 50;

/// The state of the control task.
#[derive(Debug)]
pub(crate) struct ControlTask {
    pub(super) me: DaemonIdentity,
    pub(super) actor: Actor,
    pub(super) peers: mpsc::Sender<PeerOutput>,
    pub(super) views: watch::Sender<Arc<View>>,
    pub(super) sync_status: watch::Sender<SyncStatus>,
    pub(super) metrics: EdgeMetrics,
    pub(super) view: View,
    pub(super) directory: Directory,
    pub(super) assigner: Assigner,
    pub(super) book: PeerRegistry,
    pub(super) config: Option<RoutingConfig>,
    pub(super) snapshots: SnapshotAssembler,
    pub(super) watch: CrashTracker,
    /// Services whose newest assignments are missing, and since when.
    pub(super) lacking: Map<ServiceName, TimeMs>,
    pub(super) asked_at: TimeMs,
    pub(super) notes: Map<OrderId, OrderNote>,
    /// Moves that have ended at the upstreams and are not announced yet.
    pub(super) moved: Map<ServiceName, Vec<FencingToken>>,
    pub(super) announced_at: TimeMs,
    pub(super) feed: Feed,
    pub(super) follow_orders: Map<FeedTable, watch::Sender<FollowOrder>>,
    pub(super) lost: Map<FeedTable, TimeMs>,
    pub(super) heartbeat_at: TimeMs,
    pub(super) hello_at: TimeMs,
    pub(super) was_leading: bool,
    /// Who is told that this leaving daemon is not the leader any more.
    pub(super) replaced: Option<oneshot::Sender<()>>,
    pub(super) is_leaving: bool,
    pub(super) daemons: u32,
}

/// What the control task is connected to.
#[derive(Debug)]
pub(crate) struct ControlLinks {
    pub(crate) store: mpsc::Sender<StoreRequest>,
    pub(crate) orders: mpsc::Sender<crate::order::OrderRequest>,
    pub(crate) control: mpsc::Sender<ControlInput>,
    pub(crate) peers: mpsc::Sender<PeerOutput>,
    pub(crate) views: watch::Sender<Arc<View>>,
    pub(crate) sync_status: watch::Sender<SyncStatus>,
    pub(crate) metrics: EdgeMetrics,
    /// Assignments that fit into one row of the store.
    pub(crate) row_assignments_max: usize,
}

impl ControlTask {
    /// Makes the task of a daemon.
    pub(crate) fn new(
        me: DaemonIdentity,
        timing: GrantTiming,
        stagger_ms: u64,
        links: ControlLinks,
    ) -> Self {
        let assigner = Assigner::new(now(), me.clone(), timing, stagger_ms);
        Self {
            me,
            actor: Actor {
                store: StoreClient::new(links.store, links.metrics.clone()),
                orders: links.orders,
                control: links.control,
                row_assignments_max: links.row_assignments_max,
            },
            peers: links.peers,
            views: links.views,
            sync_status: links.sync_status,
            metrics: links.metrics,
            view: View::default(),
            directory: Directory::new(),
            assigner,
            book: PeerRegistry::new(),
            config: None,
            snapshots: SnapshotAssembler::new(),
            watch: CrashTracker::new(),
            lacking: new_map(),
            asked_at: now(),
            notes: new_map(),
            moved: new_map(),
            announced_at: now(),
            feed: Feed::new(),
            follow_orders: new_map(),
            lost: new_map(),
            heartbeat_at: now(),
            hello_at: now(),
            was_leading: false,
            replaced: None,
            is_leaving: false,
            daemons: 0,
        }
    }
}

/// Runs the control task until its inputs end.
pub(crate) async fn run(mut task: ControlTask, mut inputs: mpsc::Receiver<ControlInput>) {
    for table in FeedTable::ALL {
        let (orders, ordered) = watch::channel(FollowOrder::default());
        let follower = Follower::new(table, task.actor.store.clone(), ordered);
        actix_rt::spawn(follower.run(task.actor.control.clone()));
        task.follow_orders.insert(table, orders);
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
        task.direct_followers();
    }
}

impl ControlTask {
    fn handle(&mut self, input: ControlInput) {
        match input {
            ControlInput::Store(table, news) => self.follow(table, news),
            ControlInput::Committed(result) => {
                lines::committed(result);
                let before = self.known_ranges();
                self.give(AssignerInput::Committed(result));
                self.publish_ranges();
                self.push_ranges(&before);
            }
            ControlInput::Confirmed { asked_at, version } => {
                self.give(AssignerInput::Confirmed { asked_at, version });
            }
            ControlInput::Reloaded(Ok(page)) => {
                self.take_own(page);
                self.give(AssignerInput::Reloaded);
            }
            ControlInput::Reloaded(Err(_)) => self.give(AssignerInput::ReloadFailed),
            ControlInput::Ordered { id, result } => {
                if let Some(note) = self.notes.remove(&id) {
                    lines::ordered(&note, &result);
                }
                self.give(AssignerInput::Ordered { id, result });
            }
            ControlInput::Peer { from, message } => self.hear(from, message),
            ControlInput::Sampled { service, report } => self.sampled(service, report),
            ControlInput::StepDown(replaced) => self.leave(replaced),
            ControlInput::Stop => self.resign(),
            ControlInput::Watch(input) => self.watch(None, input),
            ControlInput::NotHeld { service, key } => {
                self.give(AssignerInput::NotHeld { service, key });
            }
        }
    }

    /// Tells the followers of the tables whether they are needed.
    fn direct_followers(&self) {
        let is_leader = self.assigner.is_leading();
        for (table, orders) in &self.follow_orders {
            let order = FollowOrder {
                source: if is_leader {
                    FeedSource::Store
                } else {
                    self.feed.source(now(), *table)
                },
                seen: self.feed.seen(*table),
                wait_ms: match (is_leader, self.feed.is_behind(*table)) {
                    (true, _) => FEED_LEADER_LONG_POLL_MS,
                    (false, true) => 0,
                    (false, false) => FEED_PEER_LONG_POLL_MS,
                },
            };
            orders.send_if_modified(|known| {
                let has_turned = known.source != order.source;
                *known = order;
                has_turned
            });
        }
    }

    fn tick(&mut self) {
        let now = now();
        if let Some(upstreams) = self.directory.handle(now, DirectoryInput::Tick) {
            self.adopt_upstreams(upstreams);
        }
        self.note_upstreams(RowSource::Clock);
        self.keep_in_touch(now);
        self.ask_for_snapshots(now);
        self.watch(None, TrackerInput::Tick);
        self.give(AssignerInput::Tick);
        self.announce_moved(now);
    }

    pub(super) fn tell_world(&mut self) {
        let keyed = self
            .view
            .table
            .iter()
            .flat_map(|table| table.keyed_services().cloned());
        let keyed = keyed.collect();
        let upstreams = Arc::clone(&self.view.upstreams);
        self.give(AssignerInput::Cluster { upstreams, keyed });
    }

    pub(super) fn give(&mut self, input: AssignerInput) {
        for output in self.assigner.handle(now(), input) {
            lines::deciding(&output);
            match output {
                AssignerOutput::Commit(commit) => self.actor.commit(commit),
                AssignerOutput::Reload => self.actor.reload(),
                AssignerOutput::Confirm => self.actor.confirm(),
                AssignerOutput::Moved { service, fence } => {
                    self.moved.entry(service).or_default().push(fence);
                }
                AssignerOutput::Order(order) => {
                    let note = OrderNote {
                        upstream: order.to.upstream.clone(),
                        range: order.range,
                        fence: order.fence.0,
                        kind: order.kind.clone(),
                    };
                    self.notes.insert(order.id, note);
                    self.actor.order(order);
                }
            }
        }
        let leading = self.assigner.is_leading();
        if leading != self.was_leading {
            self.was_leading = leading;
            self.metrics.leader(leading);
            ControlLine::Leading { leading }.write();
        }
        if let Some(replaced) = self.replaced.take_if(|_| !leading) {
            // A daemon that has stopped waiting needs no answer.
            let _is_heard = replaced.send(()).is_ok();
        }
    }

    /// Returns the assignments that are known, with their versions.
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

    /// Publishes the view if assignments or the number of daemons have changed.
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
                moved::forget_settled(&mut self.view.moved, &ranges);
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

    pub(super) fn publish(&self) {
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
        let moving = assignments.filter(|found| found.is_moving()).count();
        let ranges = self.view.ranges.values();
        let ranges = ranges.map(|ranges| ranges.assignments.len()).sum();
        let upstreams = self.view.upstreams.len();
        self.metrics
            .routing_state(version, upstreams, ranges, moving);
        self.views.send_replace(Arc::new(self.view.clone()));
    }
}
