//! Snapshots of what the leader knows, in parts that fit into datagrams.

use super::message::{Part, Topic};
use balsam_types::{Map, RoutingConfig, ServiceRanges, UpstreamRow, new_map};
use bincode::config::standard;
use bincode::error::{DecodeError, EncodeError};
use serde::{Deserialize, Serialize};

/// Bytes of one part; with its frame it must fit into a datagram.
const PART_BYTES: usize = 6 << 10;

/// Parts of one snapshot at most; a row of the store has at most 64 KiB.
const PARTS_MAX: usize = 64;

/// The whole of what was asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Snapshot {
    /// The configuration.
    Config(RoutingConfig),
    /// The list of upstreams.
    Upstreams(Vec<UpstreamRow>),
    /// The assignments of a service.
    Ranges(ServiceRanges),
}

/// Divides a snapshot into parts; none if it is too large.
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

/// The parts of one snapshot that have arrived.
#[derive(Debug)]
struct Incomplete {
    version: u64,
    parts: Vec<Option<Vec<u8>>>,
}

/// Puts snapshots together from their parts.
#[derive(Debug)]
pub(crate) struct SnapshotAssembler(Map<Topic, Incomplete>);

impl SnapshotAssembler {
    /// Makes a collection without parts.
    pub(crate) fn new() -> Self {
        Self(new_map())
    }

    /// Takes a part; returns the snapshot and its version once all parts have arrived.
    ///
    /// # Errors
    ///
    /// Returns why the whole cannot be decoded.
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
                .insert(part.topic.clone(), Incomplete { version, parts });
        }
        let Some(incomplete) = self.0.get_mut(&part.topic) else {
            return Ok(None);
        };
        incomplete.parts[index] = Some(part.bytes);
        if incomplete.parts.iter().any(Option::is_none) {
            return Ok(None);
        }
        let version = incomplete.version;
        let bytes: Vec<u8> = incomplete.parts.drain(..).flatten().flatten().collect();
        self.0.remove(&part.topic);
        let (snapshot, _) = bincode::serde::decode_from_slice(&bytes, standard())?;
        Ok(Some((version, snapshot)))
    }
}
