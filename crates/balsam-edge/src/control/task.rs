//! The control task: owns what the daemon believes.

use super::act::Actor;
use super::lines::{self, ControlLine, OrderNote};
use super::{ControlInput, Followed, follow};
use crate::clock::now;
use crate::metrics::EdgeMetrics;
use crate::peer::{PeerBook, PeerMessage, PeerOutput};
use crate::store::{
    DaemonRow, OwnKey, Page, StoreChange, StoreError, StoreRequest, StoreTable, decode_row,
    encode_row,
};
use crate::view::View;
use balsam_decide::directory::{Directory, DirectoryInput};
use balsam_decide::keys::{
    Giver, GiverInput, GiverOutput, KeyTiming, Leader, OrderId, RowVersion, StoredLead,
    StoredRanges,
};
use balsam_decide::routing::RouteTable;
use balsam_types::{Map, RoutingConfig, ServiceName, ShardKey, TimeMs, UpstreamEntry, new_map};
use log::error;
use std::collections::hash_map::Entry;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

/// The time between two looks at what is due, in milliseconds; orders and lapses are due to within
/// this time.
const TICK_MS: u64 = 50;

/// The time between two signs of life of the giver, in milliseconds; several fit into the time
/// after which it counts as silent.
const BEACON_MS: u64 = 250;

/// The state of the control task.
#[derive(Debug)]
pub(crate) struct ControlTask {
    me: Leader,
    row: DaemonRow,
    actor: Actor,
    peers: mpsc::Sender<PeerOutput>,
    views: watch::Sender<Arc<View>>,
    metrics: EdgeMetrics,
    view: View,
    directory: Directory,
    giver: Giver,
    book: PeerBook,
    notes: Map<OrderId, OrderNote>,
    lost: Map<StoreTable, TimeMs>,
    beacon_at: TimeMs,
    was_leading: bool,
    is_registered: bool,
}

/// What the control task is connected to.
#[derive(Debug)]
pub(crate) struct ControlLinks {
    pub(crate) store: mpsc::Sender<StoreRequest>,
    pub(crate) orders: mpsc::Sender<crate::order::OrderRequest>,
    pub(crate) control: mpsc::Sender<ControlInput>,
    pub(crate) peers: mpsc::Sender<PeerOutput>,
    pub(crate) views: watch::Sender<Arc<View>>,
    pub(crate) metrics: EdgeMetrics,
}

impl ControlTask {
    /// Makes the task of a daemon.
    pub(crate) fn new(
        me: Leader,
        row: DaemonRow,
        timing: KeyTiming,
        stagger_ms: u64,
        links: ControlLinks,
    ) -> Self {
        let giver = Giver::new(now(), me.clone(), timing, stagger_ms);
        Self {
            me,
            row,
            actor: Actor {
                store: links.store,
                orders: links.orders,
                control: links.control,
            },
            peers: links.peers,
            views: links.views,
            metrics: links.metrics,
            view: View::default(),
            directory: Directory::new(),
            giver,
            book: PeerBook::default(),
            notes: new_map(),
            lost: new_map(),
            beacon_at: now(),
            was_leading: false,
            is_registered: false,
        }
    }
}

/// Runs the control task until its inputs end.
pub(crate) async fn run(mut task: ControlTask, mut inputs: mpsc::Receiver<ControlInput>) {
    for table in [StoreTable::Config, StoreTable::Upstreams, StoreTable::Own] {
        let (store, control) = (task.actor.store.clone(), task.actor.control.clone());
        actix_rt::spawn(follow::run(table, store, control));
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
    }
}

impl ControlTask {
    fn handle(&mut self, input: ControlInput) {
        match input {
            ControlInput::Store(table, news) => self.follow(table, news),
            ControlInput::Committed(result) => {
                lines::committed(result);
                self.give(GiverInput::Committed(result));
                self.publish_ranges();
            }
            ControlInput::Confirmed { asked_at, version } => {
                self.give(GiverInput::Confirmed { asked_at, version });
            }
            ControlInput::Reloaded(Ok(page)) => {
                self.take_own(page, true);
                self.give(GiverInput::Reloaded);
            }
            ControlInput::Reloaded(Err(_)) => self.give(GiverInput::ReloadFailed),
            ControlInput::Ordered { id, result } => {
                if let Some(note) = self.notes.remove(&id) {
                    lines::ordered(&note, &result);
                }
                self.give(GiverInput::Ordered { id, result });
            }
            ControlInput::Heard(incarnation) => self.give(GiverInput::Heard(incarnation)),
            ControlInput::Sampled { service, keys } => self.sampled(service, keys),
            ControlInput::PeerSampled { service, keys } => {
                self.give(GiverInput::Sampled { service, keys });
            }
            ControlInput::NotHeld { service, key } => {
                self.give(GiverInput::NotHeld { service, key });
            }
        }
    }

    fn tick(&mut self) {
        let now = now();
        if let Some(upstreams) = self.directory.handle(now, DirectoryInput::Tick) {
            self.adopt_upstreams(upstreams);
        }
        if self.giver.is_leading() && now >= self.beacon_at {
            self.beacon_at = now.after(BEACON_MS);
            let message = PeerMessage::Lead(self.me.incarnation);
            let targets = self.book.others(&self.me.daemon);
            self.send_peers(PeerOutput { targets, message });
        }
        self.give(GiverInput::Tick);
    }

    fn follow(&mut self, table: StoreTable, news: Followed) {
        let (page, is_whole) = match news {
            Followed::Failed(StoreError::HistoryLost) => return,
            Followed::Failed(error) => return self.store_failed(table, &error),
            Followed::Listed(page) => (page, true),
            Followed::Changed(page) => (page, false),
        };
        if let Some(lost_at) = self.lost.remove(&table) {
            // What vanishes right after the store's return may only have lapsed meanwhile.
            self.directory.handle(now(), DirectoryInput::StoreFailed);
            let lost_ms = now().since(lost_at);
            ControlLine::StoreBack {
                table: table.as_str(),
                version: page.version,
                lost_ms,
            }
            .write();
        }
        match table {
            StoreTable::Config => self.take_configs(page),
            StoreTable::Upstreams => self.take_upstreams(page, is_whole),
            StoreTable::Own => {
                self.take_own(page, is_whole);
                self.register();
            }
        }
    }

    fn store_failed(&mut self, table: StoreTable, error: &StoreError) {
        self.directory.handle(now(), DirectoryInput::StoreFailed);
        if let Entry::Vacant(lost) = self.lost.entry(table) {
            lost.insert(now());
            ControlLine::StoreLost {
                table: table.as_str(),
                error: error.to_string(),
            }
            .write();
        }
    }

    fn unreadable(table: StoreTable, key: &str, reason: &str) {
        ControlLine::RowUnreadable {
            table: table.as_str(),
            key,
            reason,
        }
        .write();
    }

    fn take_configs(&mut self, page: Page) {
        for change in page.changes {
            match change {
                StoreChange::Config(config) => self.configure(config),
                StoreChange::Unreadable { key, reason } => {
                    Self::unreadable(StoreTable::Config, &key, &reason);
                }
                _ => {}
            }
        }
    }

    fn configure(&mut self, config: RoutingConfig) {
        let version = config.version;
        let in_force = self.view.table.as_ref().map(|table| table.version());
        if let Some(in_force) = in_force.filter(|in_force| *in_force >= version) {
            if in_force > version {
                let (version, in_force) = (version.0, in_force.0);
                ControlLine::ConfigIgnored { version, in_force }.write();
            }
            return;
        }
        ControlLine::Configured {
            version: version.0,
            routes: config.routes.len(),
        }
        .write();
        self.view.table = Some(Arc::new(RouteTable::new(config)));
        self.view.table_at = now();
        self.tell_world();
        self.publish();
    }

    fn take_upstreams(&mut self, page: Page, is_whole: bool) {
        let mut listed: Vec<UpstreamEntry> = Vec::new();
        let mut newest = None;
        for change in page.changes {
            let input = match change {
                StoreChange::Upstream(entry) if is_whole => {
                    listed.push(entry);
                    continue;
                }
                StoreChange::Upstream(entry) => {
                    let state = if entry.is_ready() {
                        "ready"
                    } else {
                        "draining"
                    };
                    let (upstream, born) = (&entry.name, entry.born.0);
                    ControlLine::Upstream {
                        upstream,
                        state,
                        born,
                    }
                    .write();
                    DirectoryInput::Changed(entry)
                }
                StoreChange::UpstreamRemoved(name) => {
                    ControlLine::Upstream {
                        upstream: &name,
                        state: "removed",
                        born: 0,
                    }
                    .write();
                    DirectoryInput::Removed(name)
                }
                StoreChange::Unreadable { key, reason } => {
                    Self::unreadable(StoreTable::Upstreams, &key, &reason);
                    continue;
                }
                StoreChange::Config(_) | StoreChange::Own { .. } => continue,
            };
            newest = self.directory.handle(now(), input).or(newest);
        }
        if is_whole {
            self.view.has_upstreams = true;
            newest = self
                .directory
                .handle(now(), DirectoryInput::Listed(listed))
                .or(newest);
        }
        match newest {
            Some(upstreams) => self.adopt_upstreams(upstreams),
            None if is_whole => self.publish(),
            None => {}
        }
    }

    fn adopt_upstreams(&mut self, upstreams: balsam_decide::directory::Upstreams) {
        self.view.upstreams = Arc::new(upstreams);
        self.tell_world();
        self.publish();
    }

    fn take_own(&mut self, page: Page, is_whole: bool) {
        let mut has_lead = false;
        for change in page.changes {
            let StoreChange::Own {
                key,
                version,
                value,
            } = change
            else {
                continue;
            };
            has_lead |= key == OwnKey::Lead.text();
            if let Err(failure) = self.take_row(&key, RowVersion(version), value.as_deref()) {
                Self::unreadable(StoreTable::Own, &key, &failure.to_string());
            }
        }
        if is_whole && !has_lead {
            let lead = StoredLead {
                version: RowVersion(0),
                leader: None,
            };
            self.give(GiverInput::Lead(lead));
        }
        self.publish_ranges();
    }

    fn take_row(
        &mut self,
        key: &Arc<str>,
        version: RowVersion,
        value: Option<&[u8]>,
    ) -> Result<(), crate::store::RowError> {
        match (OwnKey::from_text(key), value) {
            (Some(OwnKey::Lead), Some(value)) => {
                let leader = Some(decode_row(key, value)?);
                self.give(GiverInput::Lead(StoredLead { version, leader }));
            }
            (Some(OwnKey::Ranges(_)), Some(value)) => {
                let ranges = Arc::new(decode_row(key, value)?);
                self.give(GiverInput::Ranges(StoredRanges { version, ranges }));
            }
            (Some(OwnKey::Daemon(daemon)), Some(value)) => {
                self.book.put(daemon, decode_row(key, value)?);
            }
            (Some(OwnKey::Daemon(daemon)), None) => self.book.remove(&daemon),
            (Some(OwnKey::Lead | OwnKey::Ranges(_)), None) | (None, _) => {}
        }
        Ok(())
    }

    /// Writes this daemon's own row once the others are known.
    fn register(&mut self) {
        if self.is_registered {
            return;
        }
        self.is_registered = true;
        let key = OwnKey::Daemon(self.me.daemon.clone()).text();
        let value = match encode_row(&key, &self.row) {
            Ok(value) => value,
            Err(failure) => return error!("daemon not registered: {failure}"),
        };
        let store = self.actor.store.clone();
        actix_rt::spawn(async move {
            loop {
                let (key, value) = (Arc::clone(&key), value.clone());
                let (reply, answer) = oneshot::channel();
                let request = StoreRequest::Write {
                    expected: Vec::new(),
                    rows: vec![(key, value)],
                    removed: Vec::new(),
                    reply,
                };
                if store.send(request).await.is_err() || matches!(answer.await, Ok(Ok(_)) | Err(_))
                {
                    return;
                }
                tokio::time::sleep(REGISTER_PAUSE).await;
            }
        });
    }

    fn sampled(&mut self, service: ServiceName, keys: Vec<ShardKey>) {
        if self.giver.is_leading() {
            return self.give(GiverInput::Sampled { service, keys });
        }
        let leader = self.giver.leader();
        let target = leader.and_then(|leader| self.book.find(leader));
        if let Some(target) = target {
            let message = PeerMessage::Sample { service, keys };
            self.send_peers(PeerOutput {
                targets: vec![target],
                message,
            });
        }
    }

    fn send_peers(&self, output: PeerOutput) {
        // Signs of life and samples are repeated; a full channel drops one.
        drop(self.peers.try_send(output));
    }

    fn tell_world(&mut self) {
        let keyed = self
            .view
            .table
            .iter()
            .flat_map(|table| table.keyed_services().cloned());
        let keyed = keyed.collect();
        let upstreams = Arc::clone(&self.view.upstreams);
        self.give(GiverInput::World { upstreams, keyed });
    }

    fn give(&mut self, input: GiverInput) {
        for output in self.giver.handle(now(), input) {
            lines::deciding(&output);
            match output {
                GiverOutput::Commit(commit) => self.actor.commit(commit),
                GiverOutput::Reload => self.actor.reload(),
                GiverOutput::Confirm => self.actor.confirm(),
                GiverOutput::Order(order) => {
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
        let leading = self.giver.is_leading();
        if leading != self.was_leading {
            self.was_leading = leading;
            self.metrics.giver(leading);
            ControlLine::Leading { leading }.write();
        }
    }

    /// Publishes the view if assignments or daemons have changed.
    fn publish_ranges(&mut self) {
        let services = self
            .view
            .table
            .iter()
            .flat_map(|table| table.keyed_services().cloned());
        let services: Vec<ServiceName> = services.collect();
        let mut changed = false;
        for service in services {
            let Some(stored) = self.giver.stored(&service) else {
                continue;
            };
            let known = self.view.ranges.get(&service);
            if known.is_none_or(|known| !Arc::ptr_eq(known, &stored.ranges)) {
                self.view.ranges.insert(service, Arc::clone(&stored.ranges));
                changed = true;
            }
        }
        let daemons = self.book.len().max(1) as u32;
        changed |= self.view.daemons != daemons;
        self.view.daemons = daemons;
        if changed {
            self.publish();
        }
    }

    fn publish(&self) {
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
        self.metrics
            .beliefs(version, self.view.upstreams.len(), moving);
        self.views.send_replace(Arc::new(self.view.clone()));
    }
}

/// The pause before a failed registration is repeated.
const REGISTER_PAUSE: Duration = Duration::from_secs(1);
