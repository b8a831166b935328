//! What the control task hears from other daemons and tells them.

use super::task::ControlTask;
use crate::clock::now;
use crate::peer::{
    Beacon, Greeting, PeerMessage, PeerOutput, RangesDelta, UpstreamNews, UpstreamsDelta,
};
use balsam_decide::feed::FeedTable;
use balsam_decide::keys::{GiverInput, RowVersion, StoredLead, StoredRanges, apply_delta, delta};
use balsam_types::{Map, ServiceName, ServiceRanges, ShardKey, TimeMs};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::oneshot;

/// The time between two signs of life of the giver, in milliseconds; several fit into the time
/// after which it counts as silent.
const BEACON_MS: u64 = 250;

/// The time between two greetings to the giver, in milliseconds.
const HELLO_MS: u64 = 1_000;

/// Changes of upstreams in one datagram at most; an entry takes about 150 bytes.
const PUSHED_ENTRIES_MAX: usize = 40;

impl ControlTask {
    /// Sends the signs of life that are due.
    pub(super) fn keep_in_touch(&mut self, now: TimeMs) {
        let peers = self.book.peers(now, self.me.address);
        if self.giver.is_leading() {
            if now >= self.beacon_at {
                self.beacon_at = now.after(BEACON_MS);
                self.daemons = peers.len() as u32 + 1;
                self.publish_ranges();
                let beacon = self.beacon(peers.clone());
                self.send(peers, PeerMessage::Lead(beacon));
            }
        } else if now >= self.hello_at
            && let Some(leader) = self.giver.leader().cloned()
        {
            self.hello_at = now.after(HELLO_MS);
            self.send(vec![leader.address], PeerMessage::Hello(self.greeting()));
        }
    }

    fn greeting(&self) -> Greeting {
        Greeting {
            daemon: self.me.clone(),
            follows: self.giver.lead_version().0,
            has_orders: !self.notes.is_empty(),
        }
    }

    fn beacon(&self, peers: Vec<SocketAddr>) -> Beacon {
        let keyed = self.view.ranges.keys();
        let ranges = keyed.filter_map(|service| {
            let stored = self.giver.stored(service)?;
            // Assignments that were never written are missing to nobody.
            (stored.version.0 > 0).then(|| (service.clone(), stored.version.0))
        });
        Beacon {
            leader: self.me.clone(),
            version: self.giver.lead_version().0,
            ranges: ranges.collect(),
            is_settled: self.giver.is_settled(now()),
            is_leaving: self.is_leaving,
            tables: self.feed.state(now()),
            peers,
        }
    }

    /// Asks another daemon to take the lead.
    ///
    /// Until one does, which the store may prevent, the keys' owners need their renewals.
    pub(super) fn leave(&mut self, replaced: oneshot::Sender<()>) {
        self.is_leaving = true;
        self.replaced = Some(replaced);
        self.beacon_at = now();
        self.give(GiverInput::Leave);
    }

    /// Sends no further order, and lets another daemon follow at once.
    pub(super) fn resign(&mut self) {
        let was_leading = self.giver.is_leading();
        self.give(GiverInput::Stop);
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
            PeerMessage::Resign(incarnation) => self.give(GiverInput::Resigned(incarnation)),
            PeerMessage::Lead(beacon) => self.hear_beacon(beacon),
            PeerMessage::Ranges(delta) => self.hear_delta(&delta),
            PeerMessage::Upstreams(delta) => self.hear_upstreams(delta),
            PeerMessage::Ask(topic) => self.answer(from, &topic),
            PeerMessage::Part(part) => self.take_part(part),
            PeerMessage::Sample { service, keys } => {
                self.give(GiverInput::Sampled { service, keys });
            }
        }
    }

    fn hear_greeting(&mut self, greeting: Greeting) {
        let incarnation = greeting.daemon.incarnation;
        self.give(GiverInput::Alive(greeting.daemon));
        // A former giver that follows this one gives no order any more.
        let follows = self.giver.is_leading() && greeting.follows == self.giver.lead_version().0;
        if follows && !greeting.has_orders {
            self.give(GiverInput::Resigned(incarnation));
        }
    }

    fn hear_upstreams(&mut self, delta: UpstreamsDelta) {
        let UpstreamsDelta {
            base,
            version,
            changes,
        } = delta;
        // What does not fit is read from the store once a sign of life names the version.
        if self
            .feed
            .relayed(now(), FeedTable::Upstreams, base, version)
        {
            self.change_upstreams(changes);
        }
    }

    /// Passes changes of the list of upstreams on to the other daemons.
    pub(super) fn push_upstreams(&mut self, base: u64, version: u64, news: &[UpstreamNews]) {
        if !self.giver.is_leading() || news.len() > PUSHED_ENTRIES_MAX {
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

    fn hear_beacon(&mut self, beacon: Beacon) {
        let incarnation = beacon.leader.incarnation;
        let version = RowVersion(beacon.version);
        if version < self.giver.lead_version() {
            return;
        }
        self.give(GiverInput::Lead(StoredLead {
            version,
            leader: Some(beacon.leader),
        }));
        self.feed.heard(now(), beacon.tables);
        self.give(GiverInput::Heard {
            incarnation,
            is_settled: beacon.is_settled,
            should_replace: self.feed.should_replace(now())
                || beacon.is_leaving && beacon.tables.is_fresh(),
        });
        for peer in &beacon.peers {
            self.book.heard(now(), *peer);
        }
        self.daemons = beacon.peers.len() as u32 + 1;
        let lacks = |(service, version): &(ServiceName, u64)| {
            let known = self.giver.stored(service);
            known
                .is_none_or(|known| known.version.0 < *version)
                .then(|| service.clone())
        };
        let lacking: Vec<ServiceName> = beacon.ranges.iter().filter_map(lacks).collect();
        if !lacking.is_empty() {
            self.give(GiverInput::Behind);
        }
        self.note_lacking(now(), lacking);
        self.publish_ranges();
    }

    fn hear_delta(&mut self, delta: &RangesDelta) {
        let known = self.giver.stored(&delta.changed.service);
        let known = known.filter(|known| known.version.0 == delta.base);
        // What does not fit is read from the store once a sign of life names the version.
        if let Some(ranges) = known.and_then(|known| apply_delta(&known.ranges, &delta.changed)) {
            let version = RowVersion(delta.version);
            let ranges = Arc::new(ranges);
            self.give(GiverInput::Ranges(StoredRanges { version, ranges }));
            self.publish_ranges();
        }
    }

    /// Tells the other daemons what a commit of this one has changed.
    pub(super) fn push_ranges(&mut self, before: &Map<ServiceName, (u64, Arc<ServiceRanges>)>) {
        if !self.giver.is_leading() {
            return;
        }
        let peers = self.book.peers(now(), self.me.address);
        let mut deltas = Vec::new();
        for (service, new) in &self.view.ranges {
            let (Some((base, old)), Some(stored)) =
                (before.get(service), self.giver.stored(service))
            else {
                continue;
            };
            if !Arc::ptr_eq(old, new) {
                let version = stored.version.0;
                deltas.push(RangesDelta {
                    base: *base,
                    version,
                    changed: delta(old, new),
                });
            }
        }
        for delta in deltas {
            self.send(peers.clone(), PeerMessage::Ranges(delta));
        }
    }

    /// Passes the keys of this daemon's requests on to the giver.
    pub(super) fn sampled(&mut self, service: ServiceName, keys: Vec<ShardKey>) {
        if self.giver.is_leading() {
            return self.give(GiverInput::Sampled { service, keys });
        }
        if let Some(target) = self.giver.leader().map(|leader| leader.address) {
            self.send(vec![target], PeerMessage::Sample { service, keys });
        }
    }

    pub(super) fn send(&self, targets: Vec<SocketAddr>, message: PeerMessage) {
        // Whatever is lost here is repeated or read from the store.
        drop(self.peers.try_send(PeerOutput { targets, message }));
    }
}
