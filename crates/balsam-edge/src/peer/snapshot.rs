//! Snapshots of the leader's data, split into parts that fit into datagrams.

use super::message::{Part, Topic};
use balsam_decide::feed::{SNAPSHOT_PARTS_MAX, SnapshotPart, SnapshotParts};
use balsam_types::{RoutingConfig, ServiceRanges, TimeMs, UpstreamRow};
use bincode::config::standard;
use bincode::error::{DecodeError, EncodeError};
use serde::{Deserialize, Serialize};

/// Length of one part in bytes. Together with its header fields it must fit into a datagram.
const PART_BYTES: usize = 6 << 10;

/// Limit on the memory that a decoder may allocate for a snapshot, in bytes. Decoded entries are
/// several times as large as their encoding.
const DECODED_MAX_BYTES: usize = 8 << 20;

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
    if count > SNAPSHOT_PARTS_MAX {
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

/// Reassembles snapshots from their parts.
#[derive(Debug)]
pub(crate) struct SnapshotAssembler(SnapshotParts<Topic>);

impl SnapshotAssembler {
    /// Creates an assembler without parts.
    pub(crate) fn new() -> Self {
        Self(SnapshotParts::new())
    }

    /// Adds a part. Returns the snapshot and its version once all parts have arrived.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] if the complete snapshot cannot be decoded.
    pub(crate) fn add_part(
        &mut self,
        now: TimeMs,
        part: Part,
    ) -> Result<Option<(u64, Snapshot)>, DecodeError> {
        let Part {
            topic,
            version,
            index,
            count,
            bytes,
        } = part;
        let part = SnapshotPart {
            version,
            index: usize::from(index),
            count: usize::from(count),
            bytes,
        };
        let Some((version, bytes)) = self.0.add(now, &topic, part) else {
            return Ok(None);
        };
        let config = standard().with_limit::<DECODED_MAX_BYTES>();
        let (snapshot, _) = bincode::serde::decode_from_slice(&bytes, config)?;
        Ok(Some((version, snapshot)))
    }
}
