//! Snapshots of the leader's data, split into parts that fit into datagrams.

use super::message::{Part, Topic};
use balsam_decide::feed::{SNAPSHOT_PARTS_MAX, SnapshotPart, SnapshotParts};
use balsam_types::{
    RoutingConfig, ServiceName, ServiceRanges, TimeMs, UpstreamRow, WarmupTerms, ZoneName,
};
use bincode::config::standard;
use bincode::error::{DecodeError, EncodeError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Length of one part in bytes. Together with its header fields it must fit into a datagram.
const PART_BYTES: usize = 6 << 10;

/// Limit on the memory that a decoder may allocate for a snapshot, in bytes. Decoded entries are
/// several times as large as their encoding.
const DECODED_MAX_BYTES: usize = 8 << 20;

/// Snapshot of one topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Snapshot {
    /// The operator's table.
    Config {
        /// The configuration, if the store holds one.
        config: Option<RoutingConfig>,
        /// The evacuated zones, or `None` if the sender's build does not know of them.
        evacuated: Option<BTreeSet<ZoneName>>,
    },
    /// The list of upstreams.
    Upstreams(Vec<UpstreamRow>),
    /// The assignments of a service.
    Ranges(ServiceRanges),
}

/// The encoding of a snapshot, which daemons of earlier builds read as well.
#[derive(Serialize, Deserialize)]
enum EncodedSnapshot {
    Config(RoutingConfig),
    Upstreams(Vec<UpstreamRow>),
    Ranges(ServiceRanges),
    /// The store holds no configuration yet.
    NoConfig,
}

/// What follows a snapshot of the operator's table. Earlier builds ignore the bytes after the
/// snapshot.
#[derive(Serialize, Deserialize)]
struct ConfigSupplement {
    evacuated: BTreeSet<ZoneName>,
    /// The limits of cold upstreams, which the encoding of the configuration leaves out.
    warmups: Vec<(ServiceName, WarmupTerms)>,
}

/// What follows [`ConfigSupplement`], for the same reason, if any service has a path. Without that
/// condition a snapshot that lacks its last byte could pass for one of an earlier build.
#[derive(Serialize, Deserialize)]
struct HealthChecks {
    /// The paths of health checks, which the encoding of the configuration leaves out.
    paths: Vec<(ServiceName, Arc<str>)>,
}

/// Encodes a snapshot.
///
/// # Errors
///
/// Returns an [`EncodeError`] if a value cannot be encoded.
pub fn encode_snapshot(snapshot: Snapshot) -> Result<Vec<u8>, EncodeError> {
    let (encoded, supplement) = match snapshot {
        Snapshot::Config { config, evacuated } => {
            let services = config.iter().flat_map(|config| &config.services);
            let warmups = services
                .clone()
                .filter_map(|(service, policy)| Some((service.clone(), policy.warmup?)));
            let warmups = warmups.collect();
            let paths = services.filter_map(|(service, policy)| {
                Some((service.clone(), policy.health_check.clone()?))
            });
            let paths: Vec<(ServiceName, Arc<str>)> = paths.collect();
            let checks = (!paths.is_empty()).then_some(HealthChecks { paths });
            let supplement = evacuated.map(|evacuated| ConfigSupplement { evacuated, warmups });
            let supplement = supplement.map(|supplement| (supplement, checks));
            let encoded = config.map_or(EncodedSnapshot::NoConfig, EncodedSnapshot::Config);
            (encoded, supplement)
        }
        Snapshot::Upstreams(rows) => (EncodedSnapshot::Upstreams(rows), None),
        Snapshot::Ranges(ranges) => (EncodedSnapshot::Ranges(ranges), None),
    };
    let mut bytes = bincode::serde::encode_to_vec(encoded, standard())?;
    if let Some((supplement, checks)) = supplement {
        bytes.extend(bincode::serde::encode_to_vec(supplement, standard())?);
        if let Some(checks) = checks {
            bytes.extend(bincode::serde::encode_to_vec(checks, standard())?);
        }
    }
    Ok(bytes)
}

/// Decodes a snapshot of this build or of another one.
///
/// # Errors
///
/// Returns a [`DecodeError`] if the bytes are not a snapshot.
pub fn decode_snapshot(bytes: &[u8]) -> Result<Snapshot, DecodeError> {
    let limits = standard().with_limit::<DECODED_MAX_BYTES>();
    let (encoded, length) = bincode::serde::decode_from_slice(bytes, limits)?;
    let config = match encoded {
        EncodedSnapshot::Config(config) => Some(config),
        EncodedSnapshot::NoConfig => None,
        EncodedSnapshot::Upstreams(rows) => return Ok(Snapshot::Upstreams(rows)),
        EncodedSnapshot::Ranges(ranges) => return Ok(Snapshot::Ranges(ranges)),
    };
    let rest = bytes.get(length..).unwrap_or_default();
    if rest.is_empty() {
        let evacuated = None;
        return Ok(Snapshot::Config { config, evacuated });
    }
    let (supplement, length): (ConfigSupplement, usize) =
        bincode::serde::decode_from_slice(rest, limits)?;
    let rest = rest.get(length..).unwrap_or_default();
    let paths = if rest.is_empty() {
        Vec::new()
    } else {
        let (checks, _): (HealthChecks, usize) = bincode::serde::decode_from_slice(rest, limits)?;
        checks.paths
    };
    let config = config.map(|mut config| {
        for (service, path) in paths {
            if let Some(policy) = config.services.get_mut(&service) {
                policy.health_check = Some(path);
            }
        }
        for (service, warmup) in supplement.warmups {
            if let Some(policy) = config.services.get_mut(&service) {
                policy.warmup = Some(warmup);
            }
        }
        config
    });
    Ok(Snapshot::Config {
        config,
        evacuated: Some(supplement.evacuated),
    })
}

/// Splits a snapshot into parts. Returns none if it is too large to send.
pub(crate) fn split_snapshot(
    topic: &Topic,
    version: u64,
    snapshot: Snapshot,
) -> Result<Vec<Part>, EncodeError> {
    let bytes = encode_snapshot(snapshot)?;
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
        Ok(Some((version, decode_snapshot(&bytes)?)))
    }
}
