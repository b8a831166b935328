//! Snapshots of the tables for daemons that the store turns away.

use super::lines::{ControlLine, RowSource};
use super::task::ControlTask;
use crate::clock::now;
use crate::peer::{Part, PeerMessage, Snapshot, Topic, split_snapshot};
use balsam_decide::feed::FeedTable;
use balsam_decide::keys::{AssignerInput, RowVersion, StoredRanges};
use balsam_types::{ServiceName, TimeMs};
use log::warn;
use std::net::SocketAddr;
use std::sync::Arc;

/// The time between two requests for snapshots, in milliseconds; lost parts are asked for again.
const ASK_MS: u64 = 400;

/// How long assignments are awaited from the leader's messages and from the store before a snapshot
/// is asked for, in milliseconds.
const LACKING_MS: u64 = 800;

/// Datagrams of a snapshot that the leader sends to every daemon unasked; a larger one would fill
/// the leader's link.
const PUSHED_PARTS_MAX: usize = 4;

impl ControlTask {
    /// Notes the services whose newest assignments this daemon lacks.
    pub(super) fn note_lacking(&mut self, now: TimeMs, services: Vec<ServiceName>) {
        self.lacking.retain(|service, _| services.contains(service));
        for service in services {
            self.lacking.entry(service).or_insert(now);
        }
    }

    /// Asks the leader for what the store did not bring in time.
    pub(super) fn ask_for_snapshots(&mut self, now: TimeMs) {
        if self.assigner.is_leading() || now.since(self.asked_at) < ASK_MS {
            return;
        }
        let tables = FeedTable::ALL.into_iter();
        let tables = tables.filter(|table| self.feed.needs_snapshot(now, *table));
        let ranges = self.lacking.iter();
        let ranges = ranges.filter(|(_, since)| now.since(**since) >= LACKING_MS);
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

    /// Answers another daemon that asks for a snapshot.
    pub(super) fn answer(&self, from: SocketAddr, topic: &Topic) {
        if !self.assigner.is_leading() {
            return;
        }
        let Some((version, snapshot)) = self.snapshot(topic) else {
            return;
        };
        match split_snapshot(topic, version, &snapshot) {
            Ok(parts) => {
                for part in parts {
                    self.send(vec![from], PeerMessage::Part(part));
                }
            }
            Err(error) => warn!("snapshot of {topic} not sent to {from}: {error}"),
        }
    }

    /// Passes a snapshot that fits into a few datagrams on to the other daemons.
    pub(super) fn push_snapshot(&mut self, topic: &Topic) {
        let Some((version, snapshot)) = self.snapshot(topic) else {
            return;
        };
        if !self.assigner.is_leading() {
            return;
        }
        let peers = self.book.peers(now(), self.me.address);
        match split_snapshot(topic, version, &snapshot) {
            Ok(parts) if parts.len() <= PUSHED_PARTS_MAX => {
                for part in parts {
                    self.send(peers.clone(), PeerMessage::Part(part));
                }
            }
            // The others read a larger one from the store.
            Ok(_) => {}
            Err(error) => warn!("snapshot of {topic} not passed on: {error}"),
        }
    }

    fn snapshot(&self, topic: &Topic) -> Option<(u64, Snapshot)> {
        match topic {
            Topic::Table(table) => {
                let snapshot = match table {
                    FeedTable::Config => Snapshot::Config(self.config.clone()?),
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

    /// Takes a part of a snapshot, and the snapshot once it is whole.
    pub(super) fn take_part(&mut self, part: Part) {
        let topic = part.topic.clone();
        match self.snapshots.add_part(part) {
            Ok(Some((version, snapshot))) => self.take_snapshot(&topic, version, snapshot),
            Ok(None) => {}
            Err(error) => warn!("snapshot of {topic} dropped: {error}"),
        }
    }

    fn take_snapshot(&mut self, topic: &Topic, version: u64, snapshot: Snapshot) {
        let is_new = match topic {
            Topic::Table(table) => self.feed.accept_snapshot(now(), *table, version),
            Topic::Ranges(_) => true,
        };
        if !is_new {
            return;
        }
        ControlLine::SnapshotTaken {
            topic: topic.to_string(),
            version,
        }
        .write();
        match snapshot {
            Snapshot::Config(config) => self.configure(config),
            Snapshot::Upstreams(rows) => self.list_upstreams(version, rows, RowSource::Snapshot),
            Snapshot::Ranges(ranges) => {
                let (version, ranges) = (RowVersion(version), Arc::new(ranges));
                self.give(AssignerInput::Ranges(StoredRanges { version, ranges }));
                self.publish_ranges();
            }
        }
    }
}
