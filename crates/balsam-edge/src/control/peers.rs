//! What the control task hears from other daemons and tells them.

use super::lines::RowSource;
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
use balsam_types::{Map, ServiceName, ServiceRanges, TimeMs};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::oneshot;

/// The time between two heartbeats of the leader, in milliseconds; several fit into the time
/// after which it counts as silent.
const HEARTBEAT_MS: u64 = 250;

/// The time between two greetings to the leader, in milliseconds.
const HELLO_MS: u64 = 1_000;

/// Changed assignments in one datagram at most; one takes about 90 bytes, and more with former
/// owners.
const PUSHED_ASSIGNMENTS_MAX: usize = 64;

/// Other daemons that one heartbeat names. All heartbeats go to all daemons, so that their length
/// loads the leader's link with the square of this.
const PEERS_NAMED_MAX: usize = 24;

/// Changes of upstreams in one datagram at most; an entry takes about 150 bytes.
const PUSHED_ENTRIES_MAX: usize = 40;

impl ControlTask {
    /// Sends the heartbeats that are due.
    pub(super) fn keep_in_touch(&mut self, now: TimeMs) {
        let peers = self.book.peers(now, self.me.address);
        if self.assigner.is_leading() {
            if now >= self.heartbeat_at {
                self.heartbeat_at = now.after(HEARTBEAT_MS);
                self.publish_sync_status(now);
                self.daemons = peers.len() as u32 + 1;
                self.publish_ranges();
                let named = self.book.next_round_robin(&peers, PEERS_NAMED_MAX);
                let heartbeat = self.heartbeat(named);
                self.send(peers, PeerMessage::Lead(heartbeat));
            }
        } else if now >= self.hello_at
            && let Some(leader) = self.assigner.leader().cloned()
        {
            self.hello_at = now.after(HELLO_MS);
            self.publish_sync_status(now);
            self.send(vec![leader.address], PeerMessage::Hello(self.greeting()));
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

    fn greeting(&self) -> FollowerStatus {
        FollowerStatus {
            daemon: self.me.clone(),
            follows: self.assigner.lead_version().0,
            has_orders: !self.notes.is_empty(),
        }
    }

    fn heartbeat(&self, peers: Vec<SocketAddr>) -> Heartbeat {
        let keyed = self.view.ranges.keys();
        let ranges = keyed.filter_map(|service| {
            let stored = self.assigner.stored(service)?;
            // Assignments that were never written are missing to nobody.
            (stored.version.0 > 0).then(|| (service.clone(), stored.version.0))
        });
        Heartbeat {
            leader: self.me.clone(),
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

    /// Asks another daemon to take the lead.
    ///
    /// Until one does, which the store may prevent, the keys' owners need their renewals.
    pub(super) fn leave(&mut self, replaced: oneshot::Sender<()>) {
        self.is_leaving = true;
        self.replaced = Some(replaced);
        self.heartbeat_at = now();
        self.give(AssignerInput::Leave);
    }

    /// Sends no further order, and lets another daemon follow at once.
    pub(super) fn resign(&mut self) {
        let was_leading = self.assigner.is_leading();
        self.give(AssignerInput::Stop);
        if was_leading {
            let peers = self.book.peers(now(), self.me.address);
            self.send(peers, PeerMessage::Resign(self.me.incarnation));
        }
    }

    /// Takes a message of another daemon.
    pub(super) fn hear(&mut self, from: SocketAddr, message: PeerMessage) {
        self.book.heard(now(), from);
        match message {
            PeerMessage::Hello(greeting) => self.hear_greeting(greeting),
            PeerMessage::Resign(incarnation) => self.give(AssignerInput::Resigned(incarnation)),
            PeerMessage::Lead(heartbeat) => self.hear_heartbeat(heartbeat),
            PeerMessage::Ranges(delta) => self.hear_delta(&delta),
            PeerMessage::Moved { service, fences } => self.take_moved(service, &fences),
            PeerMessage::Upstreams(delta) => self.hear_upstreams(delta),
            PeerMessage::Ask(topic) => self.answer(from, &topic),
            PeerMessage::Part(part) => self.take_part(part),
            PeerMessage::Watch(message) => {
                self.watch(Some(from), TrackerInput::Heard(message));
            }
            PeerMessage::Sample { service, report } => {
                self.give(AssignerInput::Sampled { service, report });
            }
        }
    }

    fn hear_greeting(&mut self, greeting: FollowerStatus) {
        let incarnation = greeting.daemon.incarnation;
        self.give(AssignerInput::Alive(greeting.daemon));
        // A former leader that follows this one gives no order any more.
        let follows =
            self.assigner.is_leading() && greeting.follows == self.assigner.lead_version().0;
        if follows && !greeting.has_orders {
            self.give(AssignerInput::Resigned(incarnation));
        }
    }

    fn hear_upstreams(&mut self, delta: UpstreamsDelta) {
        let UpstreamsDelta {
            base,
            version,
            changes,
        } = delta;
        // What does not fit is read from the store once a heartbeat names the version.
        if self
            .feed
            .accept_delta(now(), FeedTable::Upstreams, base, version)
        {
            self.change_upstreams(changes, RowSource::Leader);
        }
    }

    /// Passes changes of the list of upstreams on to the other daemons.
    pub(super) fn push_upstreams(&mut self, base: u64, version: u64, news: &[UpstreamChange]) {
        if !self.assigner.is_leading() || news.len() > PUSHED_ENTRIES_MAX {
            return;
        }
        let peers = self.book.peers(now(), self.me.address);
        let delta = UpstreamsDelta {
            base,
            version,
            changes: news.to_vec(),
        };
        self.send(peers, PeerMessage::Upstreams(delta));
    }

    fn hear_heartbeat(&mut self, heartbeat: Heartbeat) {
        let incarnation = heartbeat.leader.incarnation;
        let version = RowVersion(heartbeat.version);
        if version < self.assigner.lead_version() {
            return;
        }
        self.give(AssignerInput::Lead(StoredLead {
            version,
            leader: Some(heartbeat.leader),
        }));
        self.feed.heard(now(), heartbeat.tables);
        self.give(AssignerInput::Heard {
            incarnation,
            is_settled: heartbeat.is_settled,
            should_replace: self.feed.should_replace(now())
                || heartbeat.is_leaving && heartbeat.tables.is_fresh(),
        });
        self.watch(None, TrackerInput::LeaderDigest(heartbeat.refused));
        for peer in &heartbeat.peers {
            self.book.heard(now(), *peer);
        }
        self.daemons = heartbeat.daemons;
        let lacks = |(service, version): &(ServiceName, u64)| {
            let known = self.assigner.stored(service);
            known
                .is_none_or(|known| known.version.0 < *version)
                .then(|| service.clone())
        };
        let lacking: Vec<ServiceName> = heartbeat.ranges.iter().filter_map(lacks).collect();
        if !lacking.is_empty() {
            self.give(AssignerInput::Behind);
        }
        self.note_lacking(now(), lacking);
        self.publish_ranges();
    }

    fn hear_delta(&mut self, delta: &RangesDelta) {
        let known = self.assigner.stored(&delta.changed.service);
        let known = known.filter(|known| known.version.0 == delta.base);
        // What does not fit is read from the store once a heartbeat names the version.
        if let Some(ranges) = known.and_then(|known| apply_delta(&known.ranges, &delta.changed)) {
            let version = RowVersion(delta.version);
            let ranges = Arc::new(ranges);
            self.give(AssignerInput::Ranges(StoredRanges { version, ranges }));
            self.publish_ranges();
        }
    }

    /// Tells the other daemons what a commit of this one has changed.
    pub(super) fn push_ranges(&mut self, before: &Map<ServiceName, (u64, Arc<ServiceRanges>)>) {
        if !self.assigner.is_leading() {
            return;
        }
        let peers = self.book.peers(now(), self.me.address);
        let mut deltas = Vec::new();
        for (service, new) in &self.view.ranges {
            let (Some((base, old)), Some(stored)) =
                (before.get(service), self.assigner.stored(service))
            else {
                continue;
            };
            if !Arc::ptr_eq(old, new) {
                let version = stored.version.0;
                let changed = delta(old, new);
                let moving = changed.assignments.iter().filter(|found| found.is_moving());
                let keys = moving.map(|found| u64::from(found.range.len())).sum();
                self.metrics.keys_moved(service, keys);
                deltas.push(RangesDelta {
                    base: *base,
                    version,
                    changed,
                });
            }
        }
        for delta in deltas {
            if delta.changed.assignments.len() <= PUSHED_ASSIGNMENTS_MAX {
                self.send(peers.clone(), PeerMessage::Ranges(delta));
            } else {
                self.push_snapshot(&Topic::Ranges(delta.changed.service));
            }
        }
    }

    /// Passes what this daemon saw of its requests on to the leader.
    pub(super) fn sampled(&mut self, service: ServiceName, report: LoadReport) {
        if self.assigner.is_leading() {
            return self.give(AssignerInput::Sampled { service, report });
        }
        if let Some(target) = self.assigner.leader().map(|leader| leader.address) {
            self.send(vec![target], PeerMessage::Sample { service, report });
        }
    }

    pub(super) fn send(&self, targets: Vec<SocketAddr>, message: PeerMessage) {
        // Whatever is lost here is repeated or read from the store.
        drop(self.peers.try_send(PeerOutput { targets, message }));
    }
}
