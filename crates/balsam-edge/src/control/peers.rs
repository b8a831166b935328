//! Messages between the control task and other daemons.

use super::events::RowSource;
use super::snapshots::PUSHED_RANGES_PARTS_MAX;
use super::task::ControlTask;
use crate::clock::now;
use crate::peer::{
    FollowerStatus, Heartbeat, PeerMessage, PeerOutput, RangesDelta, Topic, UpstreamChange,
    UpstreamsDelta,
};
use crate::view::SyncStatus;
use balsam_decide::crashes::TrackerInput;
use balsam_decide::feed::FeedTable;
use balsam_decide::keys::{
    AssignerInput, LoadReport, RowVersion, StoredLead, StoredRanges, apply_delta, delta,
};
use balsam_decide::peers::DIRECT_RECEIVERS_MAX;
use balsam_types::{Map, ServiceName, ServiceRanges, TimeMs, new_set};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Interval between two heartbeats of the leader, in milliseconds. Several fit into the time after
/// which the leader counts as unresponsive.
const HEARTBEAT_INTERVAL_MS: u64 = 250;

/// Interval between two `Hello` messages to the leader, in milliseconds.
const HELLO_INTERVAL_MS: u64 = 1_000;

/// Upper limit on the daemons whose incarnations are remembered. With more, which replaced machines
/// may cause, all are forgotten and greeted once more.
const GREETED_BY_MAX: usize = 4_096;

/// Upper limit on changed assignments in one datagram. Each takes about 90 bytes, and more with
/// former owners.
const PUSHED_ASSIGNMENTS_MAX: usize = 64;

/// Upper limit on the daemons that one heartbeat lists. Every heartbeat goes to every daemon, so an
/// unlimited list would load the leader's link with the square of their number.
const HEARTBEAT_PEERS_MAX: usize = 24;

/// Upper limit on changes of upstreams in one datagram. Each entry takes about 150 bytes.
const PUSHED_UPSTREAMS_MAX: usize = 40;

/// Upper limit on changes of upstreams that are sent at once. The other daemons read longer lists
/// from the store.
const PUSHED_UPSTREAMS_TOTAL_MAX: usize = 400;

/// How long assignments may be missing before they are read from the store, in milliseconds. The
/// leader is asked for them first, which costs the store nothing.
const MISSING_RANGES_READ_MS: u64 = 1_000;

impl ControlTask {
    /// Sends a heartbeat as the leader, or a `Hello` to the leader, if it is due.
    pub(super) fn send_due_heartbeats(&mut self, now: TimeMs) {
        let peers = self.peer_registry.peers(now, self.this_daemon.address);
        if self.assigner.is_leading() {
            if now >= self.next_heartbeat_at {
                self.next_heartbeat_at = now.after(HEARTBEAT_INTERVAL_MS);
                self.publish_sync_status(now);
                self.daemons = peers.len() as u32 + 1;
                self.publish_ranges();
                let listed = self
                    .peer_registry
                    .next_round_robin(&peers, HEARTBEAT_PEERS_MAX);
                let heartbeat = self.heartbeat(listed);
                self.send(peers, PeerMessage::Lead(heartbeat));
            }
        } else if now >= self.next_hello_at
            && let Some(leader) = self.assigner.leader().cloned()
        {
            self.next_hello_at = now.after(HELLO_INTERVAL_MS);
            self.publish_sync_status(now);
            self.send(
                vec![leader.address],
                PeerMessage::Hello(self.follower_status()),
            );
            if let Some(capacity) = self.capacity() {
                self.send(vec![leader.address], capacity);
            }
            if self.feed.take_clock_request(now) {
                let request = PeerMessage::AskClock { asked_at: now };
                self.send(vec![leader.address], request);
            }
        }
    }

    fn publish_sync_status(&self, now: TimeMs) {
        let age_ms = self.feed.staleness_ms(now);
        self.metrics.knowledge_age(age_ms);
        let leader = self.assigner.leader();
        self.sync_status.send_replace(SyncStatus {
            leader: leader.map(|leader| leader.daemon.clone()),
            age_ms,
            measured_at: now,
        });
    }

    fn follower_status(&self) -> FollowerStatus {
        FollowerStatus {
            daemon: self.this_daemon.clone(),
            follows: self.assigner.lead_version().0,
            has_orders: !self.pending_orders.is_empty(),
        }
    }

    fn heartbeat(&self, peers: Vec<SocketAddr>) -> Heartbeat {
        let keyed = self.view.ranges.keys();
        let ranges = keyed.filter_map(|service| {
            let stored = self.assigner.stored(service)?;
            // A missing row stands for assignments that were never written, which no daemon can lack.
            let is_written = !stored.version.is_absent();
            is_written.then(|| (service.clone(), stored.version.0))
        });
        Heartbeat {
            leader: self.this_daemon.clone(),
            version: self.assigner.lead_version().0,
            ranges: ranges.collect(),
            is_settled: self.assigner.is_settled(now()),
            is_leaving: self.is_leaving,
            refused: self.watch.suspects().digest(),
            tables: self.feed.state(now()),
            daemons: self.daemons,
            peers,
        }
    }

    /// Asks another daemon to become the leader.
    ///
    /// Until one does, which an outage of the store may prevent, this daemon remains the leader,
    /// because the owners of keys need their grants renewed.
    pub(super) fn step_down(&mut self, stepped_down: oneshot::Sender<()>) {
        self.is_leaving = true;
        self.stepped_down = Some(stepped_down);
        self.next_heartbeat_at = now();
        self.decide(AssignerInput::Leave);
    }

    /// Stops sending orders, and tells the other daemons that one of them may become the leader at
    /// once.
    pub(super) fn resign(&mut self) {
        let was_leading = self.assigner.is_leading();
        self.decide(AssignerInput::Stop);
        if was_leading {
            let peers = self.peer_registry.peers(now(), self.this_daemon.address);
            self.send(peers, PeerMessage::Resign(self.this_daemon.incarnation));
        }
    }

    /// Handles a message of another daemon.
    pub(super) fn handle_peer_message(&mut self, from: SocketAddr, message: PeerMessage) {
        self.peer_registry.heard(now(), from);
        match message {
            PeerMessage::Hello(follower_status) => {
                let incarnation = follower_status.daemon.incarnation;
                if self.greeted_by.len() >= GREETED_BY_MAX {
                    self.greeted_by.clear();
                }
                let known = self.greeted_by.insert(from, incarnation);
                self.handle_hello(follower_status);
                if known != Some(incarnation) && self.assigner.is_leading() {
                    // A daemon that has just started waits for the first heartbeat.
                    self.send(vec![from], PeerMessage::Lead(self.heartbeat(Vec::new())));
                    if let Some(reading) = self.feed.reading() {
                        self.send(vec![from], PeerMessage::Reading(reading));
                    }
                }
            }
            PeerMessage::Resign(incarnation) => self.decide(AssignerInput::Resigned(incarnation)),
            PeerMessage::Lead(heartbeat) => self.handle_heartbeat(heartbeat),
            PeerMessage::Ranges(delta) => self.apply_ranges_delta(&delta),
            PeerMessage::Moved { service, fences } => self.apply_moved(service, &fences),
            PeerMessage::Upstreams(delta) => self.apply_upstreams_delta(delta),
            PeerMessage::Ask(topic) => self.send_snapshot(from, &topic),
            PeerMessage::Part(part) => self.receive_part(part),
            PeerMessage::Watch(message) => {
                self.watch(Some(from), TrackerInput::Heard(message));
            }
            PeerMessage::Sample { service, report } => {
                self.decide(AssignerInput::Sampled { service, report });
            }
            PeerMessage::Reading(reading) => self.feed.record_peer_reading(now(), reading),
            PeerMessage::AskClock { asked_at } => {
                if let Some(store_now) = self.feed.store_now(now()) {
                    let answer = PeerMessage::Clock {
                        asked_at,
                        store_now,
                    };
                    self.send(vec![from], answer);
                }
            }
            PeerMessage::Clock {
                asked_at,
                store_now,
            } => {
                // An answer that was meant for another machine shows a time of its clock.
                if asked_at <= now() {
                    self.feed.record_clock(now(), asked_at, store_now);
                }
            }
            // The task of the socket has passed it on and delivers the message in it.
            // It also delivers messages about the room of upstreams to the keeper and to the pool.
            PeerMessage::Relay { .. } | PeerMessage::Room(_) => {}
            PeerMessage::Capacity {
                zone,
                weight,
                is_leaving,
            } => self.handle_capacity(from, zone, weight, is_leaving),
            PeerMessage::Keepers(list) => self.adopt_keepers(list),
        }
    }

    fn handle_hello(&mut self, follower_status: FollowerStatus) {
        let incarnation = follower_status.daemon.incarnation;
        self.decide(AssignerInput::Alive(follower_status.daemon));
        // A former leader that follows this daemon sends no more orders.
        let follows =
            self.assigner.is_leading() && follower_status.follows == self.assigner.lead_version().0;
        if follows && !follower_status.has_orders {
            self.decide(AssignerInput::Resigned(incarnation));
        }
    }

    fn apply_upstreams_delta(&mut self, delta: UpstreamsDelta) {
        let UpstreamsDelta {
            base,
            version,
            changes,
        } = delta;
        // A delta that does not apply is dropped: the next heartbeat shows the newer version, and
        // this daemon then reads the table from the store.
        if self
            .feed
            .accept_delta(now(), FeedTable::Upstreams, base, version)
        {
            self.update_upstreams(changes, RowSource::Leader);
        }
    }

    /// Sends changes of the list of upstreams to the other daemons, as the leader or in its place.
    pub(super) fn push_upstreams(&mut self, base: u64, version: u64, update: &[UpstreamChange]) {
        let broadcasts_changes = self.feed.broadcasts_changes(self.assigner.is_leading());
        if !broadcasts_changes || update.len() > PUSHED_UPSTREAMS_TOTAL_MAX {
            return;
        }
        let peers = self.peer_registry.peers(now(), self.this_daemon.address);
        for delta in split_upstreams(base, version, update) {
            self.send(peers.clone(), PeerMessage::Upstreams(delta));
        }
    }

    fn handle_heartbeat(&mut self, heartbeat: Heartbeat) {
        let incarnation = heartbeat.leader.incarnation;
        let version = RowVersion(heartbeat.version);
        if version < self.assigner.lead_version() {
            return;
        }
        self.decide(AssignerInput::Lead(StoredLead {
            version,
            leader: Some(heartbeat.leader),
        }));
        self.feed.heard(now(), heartbeat.tables);
        self.decide(AssignerInput::Heard {
            incarnation,
            is_settled: heartbeat.is_settled,
            should_replace: self
                .feed
                .should_replace(now(), self.assigner.leader_since())
                || heartbeat.is_leaving && heartbeat.tables.is_fresh(),
        });
        self.watch(None, TrackerInput::LeaderDigest(heartbeat.refused));
        for peer in &heartbeat.peers {
            self.peer_registry.heard(now(), *peer);
        }
        self.daemons = heartbeat.daemons;
        self.feed.set_daemons(heartbeat.daemons);
        let assigner = &self.assigner;
        let known = |service: &ServiceName| Some(assigner.stored(service)?.version.0);
        self.missing_ranges
            .announce(now(), &heartbeat.ranges, known);
        let is_overdue = self
            .missing_ranges
            .iter(known)
            .any(|(_, since)| now().since(since) >= MISSING_RANGES_READ_MS);
        if is_overdue {
            self.decide(AssignerInput::Behind);
        }
        self.publish_ranges();
    }

    fn apply_ranges_delta(&mut self, delta: &RangesDelta) {
        let known = self.assigner.stored(&delta.changed.service);
        let known = known.filter(|known| known.version.0 == delta.base);
        // A delta that does not apply is dropped: the next heartbeat shows the newer version, and
        // this daemon then reads the assignments from the store.
        if let Some(ranges) = known.and_then(|known| apply_delta(&known.ranges, &delta.changed)) {
            let version = RowVersion(delta.version);
            let ranges = Arc::new(ranges);
            self.decide(AssignerInput::Ranges(StoredRanges { version, ranges }));
            self.publish_ranges();
        }
    }

    /// Sends the assignments that a commit of this daemon has changed to the other daemons.
    pub(super) fn push_ranges(&mut self, before: &Map<ServiceName, (u64, Arc<ServiceRanges>)>) {
        if !self.assigner.is_leading() {
            return;
        }
        let peers = self.peer_registry.peers(now(), self.this_daemon.address);
        let mut deltas = Vec::new();
        let mut restored = new_set();
        for (service, new) in &self.view.ranges {
            let (Some((base, old)), Some(stored)) =
                (before.get(service), self.assigner.stored(service))
            else {
                continue;
            };
            if !Arc::ptr_eq(old, new) {
                let version = stored.version.0;
                if old.next_fence < stored.version.era().first_fence() {
                    restored.insert(service.clone());
                }
                let changed = delta(old, new);
                let moving = changed
                    .assignments
                    .iter()
                    .filter(|assignment| assignment.is_moving());
                let keys = moving
                    .map(|assignment| u64::from(assignment.range.len()))
                    .sum();
                self.metrics.keys_moved(service, keys);
                deltas.push(RangesDelta {
                    base: *base,
                    version,
                    changed,
                });
            }
        }
        for delta in deltas {
            // The other daemons have the assignments under a version of the previous era.
            let is_restored = restored.contains(&delta.changed.service);
            if delta.changed.assignments.len() <= PUSHED_ASSIGNMENTS_MAX && !is_restored {
                self.send(peers.clone(), PeerMessage::Ranges(delta));
            } else {
                let topic = Topic::Ranges(delta.changed.service);
                self.push_snapshot(&topic, PUSHED_RANGES_PARTS_MAX);
            }
        }
    }

    /// Sends a load report to the leader, or applies it if this daemon is the leader.
    pub(super) fn forward_load_report(&mut self, service: ServiceName, report: LoadReport) {
        if self.assigner.is_leading() {
            return self.decide(AssignerInput::Sampled { service, report });
        }
        if let Some(target) = self.assigner.leader().map(|leader| leader.address) {
            self.send(vec![target], PeerMessage::Sample { service, report });
        }
    }

    /// Queues a message to other daemons.
    pub(super) fn send(&self, targets: Vec<SocketAddr>, message: PeerMessage) {
        // Messages that are dropped here are sent again later, or their content is read from the
        // store.
        let relays = if targets.len() > DIRECT_RECEIVERS_MAX {
            self.peer_registry.relays(now(), &targets)
        } else {
            Vec::new()
        };
        let output = PeerOutput {
            targets,
            relays,
            message,
        };
        if self.peers.try_send(output).is_err() {
            self.metrics.peer_message_dropped("out");
        }
    }
}

/// Splits changes into deltas that fit into a datagram each. Changes of one version stay together,
/// so that a daemon that has a version has all its changes.
fn split_upstreams(base: u64, version: u64, update: &[UpstreamChange]) -> Vec<UpstreamsDelta> {
    let mut deltas: Vec<UpstreamsDelta> = Vec::new();
    for group in update.chunk_by(|one, next| one.version() == next.version()) {
        match deltas.last_mut() {
            Some(delta) if delta.changes.len() + group.len() <= PUSHED_UPSTREAMS_MAX => {
                delta.changes.extend_from_slice(group);
            }
            last => {
                let base = last.map_or(base, |delta| {
                    delta.version = delta.changes.last().map_or(base, UpstreamChange::version);
                    delta.version
                });
                deltas.push(UpstreamsDelta {
                    base,
                    version,
                    changes: group.to_vec(),
                });
            }
        }
    }
    deltas
}
