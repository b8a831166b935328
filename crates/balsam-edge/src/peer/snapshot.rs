//! Snapshots of the leader's data, split into parts that fit into datagrams.

use super::message::{Part, Topic};
use balsam_types::{Map, RoutingConfig, ServiceRanges, UpstreamRow, new_map};
use bincode::config::standard;
use bincode::error::{DecodeError, EncodeError};
use serde::{Deserialize, Serialize};

/// Length of one part in bytes. Together with its header fields it must fit into a datagram.
const PART_BYTES: usize = 6 << 10;

/// Upper limit on the parts of one snapshot. A row of the store has at most 64 KiB.
const PARTS_MAX: usize = 64;

/// Snapshot of one topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Snapshot {
    /// The configuration.
    Config(RoutingConfig),
    /// The list of upstreams.
    Upstreams(Vec<UpstreamRow>),
    /// The assignments of a service.
    Ranges(ServiceRanges),
    /// The store holds no configuration yet.
    NoConfig,
}

/// Splits a snapshot into parts. Returns none if it is too large to send.
pub(crate) fn split_snapshot(
    topic: &Topic,
    version: u64,
    snapshot: &Snapshot,
) -> Result<Vec<Part>, EncodeError> {
    let bytes = bincode::serde::encode_to_vec(snapshot, standard())?;
    let pieces = bytes.chunks(PART_BYTES);
    let count = pieces.len();
    if count > PARTS_MAX {
        return Ok(Vec::new());
    }
    let parts = pieces.enumerate().map(|(index, bytes)| Part {
        topic: topic.clone(),
        version,
        index: index as u16,
        count: count as u16,
        bytes: bytes.to_vec(),
    });
    Ok(parts.collect())
}

/// The parts of one snapshot that have arrived so far.
#[derive(Debug)]
struct PartialSnapshot {
    version: u64,
    parts: Vec<Option<Vec<u8>>>,
}

/// Reassembles snapshots from their parts.
#[derive(Debug)]
pub(crate) struct SnapshotAssembler(Map<Topic, PartialSnapshot>);

impl SnapshotAssembler {
    /// Creates an assembler without parts.
    pub(crate) fn new() -> Self {
        Self(new_map())
    }

    /// Adds a part. Returns the snapshot and its version once all parts have arrived.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] if the complete snapshot cannot be decoded.
    pub(crate) fn add_part(&mut self, part: Part) -> Result<Option<(u64, Snapshot)>, DecodeError> {
        let (index, count) = (usize::from(part.index), usize::from(part.count));
        if count > PARTS_MAX || index >= count {
            return Ok(None);
        }
        let known = self.0.get(&part.topic);
        if known.is_some_and(|known| known.version > part.version) {
            return Ok(None);
        }
        let is_same =
            known.is_some_and(|known| known.version == part.version && known.parts.len() == count);
        if !is_same {
            let parts = vec![None; count];
            let version = part.version;
            self.0
                .insert(part.topic.clone(), PartialSnapshot { version, parts });
        }
        let Some(partial) = self.0.get_mut(&part.topic) else {
            return Ok(None);
        };
        partial.parts[index] = Some(part.bytes);
        if partial.parts.iter().any(Option::is_none) {
            return Ok(None);
        }
        let version = partial.version;
        let bytes: Vec<u8> = partial.parts.drain(..).flatten().flatten().collect();
        self.0.remove(&part.topic);
        let (snapshot, _) = bincode::serde::decode_from_slice(&bytes, standard())?;
        Ok(Some((version, snapshot)))
    }
}
