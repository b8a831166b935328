//! Snapshots of the leader's data for daemons whose calls the store refuses.

use super::events::{ControlEvent, RowSource};
use super::task::ControlTask;
use crate::clock::now;
use crate::peer::{Part, PeerMessage, Snapshot, Topic, split_snapshot};
use balsam_decide::feed::FeedTable;
use balsam_decide::keys::{AssignerInput, RowVersion, StoredRanges};
use balsam_types::{RoutingConfig, ServiceName, TimeMs};
use log::{debug, warn};
use std::net::SocketAddr;
use std::sync::Arc;

/// Interval between two requests for snapshots, in milliseconds. A request is repeated as long as
/// parts are missing.
const REQUEST_INTERVAL_MS: u64 = 400;

/// How long to wait for the leader's delta of assignments before a snapshot is requested, in
/// milliseconds. A delta may arrive after the heartbeat that announces it.
const MISSING_RANGES_WAIT_MS: u64 = 200;

/// Upper limit on the datagrams of a snapshot that the leader sends to all daemons unrequested. A
/// larger snapshot would saturate the leader's link.
pub(super) const PUSHED_PARTS_MAX: usize = 4;

/// The same limit for tables of a restored store, which all daemons lack.
pub(super) const PUSHED_RESTORED_PARTS_MAX: usize = 16;

/// The same limit for assignments. All daemons would ask for them a moment later.
pub(super) const PUSHED_RANGES_PARTS_MAX: usize = 16;

impl ControlTask {
    /// Requests snapshots from the leader of the data that did not arrive from the store in time.
    pub(super) fn request_missing_snapshots(&mut self, now: TimeMs) {
        if self.assigner.is_leading() || now.since(self.asked_at) < REQUEST_INTERVAL_MS {
            return;
        }
        let tables = FeedTable::ALL.into_iter();
        let tables = tables.filter(|table| self.feed.needs_snapshot(now, *table));
        let known = |service: &ServiceName| Some(self.assigner.stored(service)?.version.0);
        let ranges = self.missing_ranges.iter(known);
        let ranges = ranges.filter(|(service, since)| {
            self.assigner.stored(service).is_none() || now.since(*since) >= MISSING_RANGES_WAIT_MS
        });
        let ranges = ranges.map(|(service, _)| Topic::Ranges(service.clone()));
        let topics: Vec<Topic> = tables.map(Topic::Table).chain(ranges).collect();
        let Some(leader) = self.assigner.leader().map(|leader| leader.address) else {
            return;
        };
        for topic in topics {
            self.asked_at = now;
            self.send(vec![leader], PeerMessage::Ask(topic));
        }
    }

    /// Sends a snapshot to a daemon that requested it. Only the leader does so.
    pub(super) fn send_snapshot(&mut self, from: SocketAddr, topic: &Topic) {
        if !self.assigner.is_leading() {
            return;
        }
        let Some((version, snapshot)) = self.snapshot(topic) else {
            return;
        };
        match split_snapshot(topic, version, snapshot) {
            Ok(parts) => {
                let bytes = parts.iter().map(|part| part.bytes.len()).sum();
                if !self.snapshot_budget.take(now(), bytes) {
                    // The daemon asks again, and reads the store if it does not get an answer.
                    return debug!("snapshot of {topic} not sent to {from}: too many requests");
                }
                for part in parts {
                    self.send(vec![from], PeerMessage::Part(part));
                }
            }
            Err(error) => warn!("snapshot of {topic} not sent to {from}: {error}"),
        }
    }

    /// Sends a snapshot to all other daemons if it fits into `parts_max` datagrams.
    pub(super) fn push_snapshot(&mut self, topic: &Topic, parts_max: usize) {
        let Some((version, snapshot)) = self.snapshot(topic) else {
            return;
        };
        let is_leading = self.assigner.is_leading();
        let may_push = match topic {
            Topic::Table(_) => self.feed.broadcasts_changes(is_leading),
            Topic::Ranges(_) => is_leading,
        };
        if !may_push {
            return;
        }
        let peers = self.peer_registry.peers(now(), self.this_daemon.address);
        match split_snapshot(topic, version, snapshot) {
            Ok(parts) if parts.len() <= parts_max => {
                for part in parts {
                    self.send(peers.clone(), PeerMessage::Part(part));
                }
            }
            // The other daemons read a larger one from the store.
            Ok(_) => {}
            Err(error) => warn!("snapshot of {topic} not sent to the other daemons: {error}"),
        }
    }

    fn snapshot(&self, topic: &Topic) -> Option<(u64, Snapshot)> {
        match topic {
            Topic::Table(table) => {
                let snapshot = match table {
                    FeedTable::Config => Snapshot::Config {
                        config: self.config.clone(),
                        evacuated: Some(self.view.evacuated.names().cloned().collect()),
                    },
                    FeedTable::Upstreams => Snapshot::Upstreams(self.directory.listed()),
                };
                Some((self.feed.seen(*table)?, snapshot))
            }
            Topic::Ranges(service) => {
                let stored = self.assigner.stored(service)?;
                let ranges = stored.ranges.as_ref().clone();
                Some((stored.version.0, Snapshot::Ranges(ranges)))
            }
        }
    }

    /// Stores a part of a snapshot, and applies the snapshot once it is complete.
    pub(super) fn receive_part(&mut self, part: Part) {
        let topic = part.topic.clone();
        match self.snapshots.add_part(now(), part) {
            Ok(Some((version, snapshot))) => self.apply_snapshot(&topic, version, snapshot),
            Ok(None) => {}
            Err(error) => warn!("snapshot of {topic} dropped, cannot decode it: {error}"),
        }
    }

    fn apply_snapshot(&mut self, topic: &Topic, version: u64, snapshot: Snapshot) {
        let snapshot = match snapshot {
            Snapshot::Config {
                config,
                evacuated: None,
            } => return self.apply_partial_config(config),
            snapshot => snapshot,
        };
        let change_age_ms = self.config_change_age_ms();
        let is_new = match topic {
            Topic::Table(table) => self.feed.accept_snapshot(now(), *table, version),
            Topic::Ranges(_) => true,
        };
        if !is_new {
            return;
        }
        ControlEvent::SnapshotTaken {
            topic: topic.to_string(),
            version,
        }
        .emit();
        match snapshot {
            Snapshot::Config { config, evacuated } => {
                if let Some(config) = config {
                    self.apply_config(config);
                }
                if let Some(evacuated) = evacuated {
                    self.set_evacuated_zones(evacuated, change_age_ms);
                }
            }
            Snapshot::Upstreams(rows) => self.set_upstreams(version, rows, RowSource::Snapshot),
            Snapshot::Ranges(ranges) => {
                let (version, ranges) = (RowVersion(version), Arc::new(ranges));
                self.decide(AssignerInput::Ranges(StoredRanges { version, ranges }));
                self.publish_ranges();
            }
        }
    }

    /// Handles a snapshot of the operator's table that a daemon of an earlier build has sent. It
    /// lacks the evacuated zones, so this daemon still has to read the table from the store.
    fn apply_partial_config(&mut self, config: Option<RoutingConfig>) {
        if let Some(config) = config
            && self.feed.is_unavailable(FeedTable::Config)
        {
            self.apply_config(config);
        }
    }
}
