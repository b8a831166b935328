//! Snapshots of which only some parts have arrived.

use balsam_types::{Map, TimeMs, new_map};
use std::hash::Hash;

/// Maximum number of parts of one snapshot. A row of the store has at most 64 KiB.
pub const SNAPSHOT_PARTS_MAX: usize = 64;

/// Maximum number of topics of which parts are kept. A new topic replaces the one whose last part
/// is the oldest.
const TOPICS_MAX: usize = 32;

/// How long parts are kept after the last one of their topic, in milliseconds. A daemon that lacks
/// parts requests the whole snapshot again after a fraction of this time.
const PARTS_KEPT_MS: u64 = 5_000;

/// One part of an encoded snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotPart {
    /// The version of the snapshot.
    pub version: u64,
    /// The index of this part, from 0.
    pub index: usize,
    /// The number of parts.
    pub count: usize,
    /// The bytes of this part.
    pub bytes: Vec<u8>,
}

/// The parts of one snapshot that have arrived.
#[derive(Debug)]
struct PartialSnapshot {
    version: u64,
    parts: Vec<Option<Vec<u8>>>,
    last_part_at: TimeMs,
}

/// The parts of incomplete snapshots by topic.
///
/// A faulty daemon may send parts of snapshots that never become complete, so that topics are
/// limited in number and in time.
#[derive(Debug)]
pub struct SnapshotParts<T>(Map<T, PartialSnapshot>);

impl<T: Clone + Eq + Hash> SnapshotParts<T> {
    /// Creates an empty collection.
    pub fn new() -> Self {
        Self(new_map())
    }

    /// Adds a part. Returns the version and the bytes of the snapshot once all parts have arrived.
    ///
    /// Parts of a version that is older than that of other parts are ignored, as are parts with an
    /// index or a number of parts that is out of range.
    pub fn add(&mut self, now: TimeMs, topic: &T, part: SnapshotPart) -> Option<(u64, Vec<u8>)> {
        self.0
            .retain(|_, partial| now.since(partial.last_part_at) <= PARTS_KEPT_MS);
        if part.count > SNAPSHOT_PARTS_MAX || part.index >= part.count {
            return None;
        }
        let known = self.0.get(topic);
        if known.is_some_and(|known| known.version > part.version) {
            return None;
        }
        let is_same = known
            .is_some_and(|known| known.version == part.version && known.parts.len() == part.count);
        if !is_same {
            self.0.remove(topic);
            self.make_room();
        }
        let partial = self
            .0
            .entry(topic.clone())
            .or_insert_with(|| PartialSnapshot {
                version: part.version,
                parts: vec![None; part.count],
                last_part_at: now,
            });
        partial.parts[part.index] = Some(part.bytes);
        partial.last_part_at = now;
        if partial.parts.iter().any(Option::is_none) {
            return None;
        }
        let complete = self.0.remove(topic)?;
        let bytes = complete.parts.into_iter().flatten().flatten();
        Some((complete.version, bytes.collect()))
    }

    /// Returns the number of bytes of all parts that are kept.
    pub fn kept_bytes(&self) -> usize {
        let parts = self.0.values().flat_map(|partial| &partial.parts);
        parts.flatten().map(Vec::len).sum()
    }

    /// Drops the topic whose last part is the oldest, if there are as many topics as are kept.
    fn make_room(&mut self) {
        if self.0.len() < TOPICS_MAX {
            return;
        }
        let oldest = self
            .0
            .iter()
            .min_by_key(|(_, partial)| partial.last_part_at);
        if let Some(oldest) = oldest.map(|(topic, _)| topic.clone()) {
            self.0.remove(&oldest);
        }
    }
}

impl<T: Clone + Eq + Hash> Default for SnapshotParts<T> {
    fn default() -> Self {
        Self::new()
    }
}
