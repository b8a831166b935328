//! The daemons' own rows in the store.

use balsam_types::{Assignment, Fence, KeyRange, Map, Owner, ServiceName, ServiceRanges, new_map};
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use std::sync::Arc;

/// A row that cannot be encoded or understood.
#[derive(Debug, Snafu)]
pub enum RowError {
    /// The bytes are no row.
    #[snafu(display("row {key}: {source}"))]
    Malformed {
        /// The row.
        key: Arc<str>,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// The assignments cannot be right.
    #[snafu(display("row {key}: {source}"))]
    Ranges {
        /// The row.
        key: Arc<str>,
        /// What is wrong.
        source: RangesRowError,
    },
}

/// Which row a key names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnKey {
    /// The leader.
    Lead,
    /// The assignments of a service.
    Ranges(ServiceName),
}

const LEAD: &str = "lead";
const RANGES: &str = "ranges/";

impl OwnKey {
    /// Returns the row's key.
    pub fn text(&self) -> Arc<str> {
        match self {
            Self::Lead => Arc::from(LEAD),
            Self::Ranges(service) => Arc::from(format!("{RANGES}{service}")),
        }
    }

    /// Finds what a key names, or `None` for a key of another writer.
    pub fn from_text(text: &str) -> Option<Self> {
        if text == LEAD {
            return Some(Self::Lead);
        }
        let service = text.strip_prefix(RANGES)?;
        ServiceName::new(service).ok().map(Self::Ranges)
    }
}

/// The row of a service's assignments.
///
/// Owners are listed once and named by their place: a deployment with hundreds of upstreams must
/// fit into one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangesRow {
    service: ServiceName,
    next_fence: Fence,
    owners: Vec<Owner>,
    assignments: Vec<RowAssignment>,
}

/// The first key, the token, the owner's place and the places of former owners; the range ends
/// before the next one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RowAssignment(u16, Fence, usize, Vec<usize>);

impl From<&ServiceRanges> for RangesRow {
    fn from(ranges: &ServiceRanges) -> Self {
        let mut owners: Vec<Owner> = Vec::new();
        let mut places: Map<Owner, usize> = new_map();
        let mut place = |owner: &Owner| {
            *places.entry(owner.clone()).or_insert_with(|| {
                owners.push(owner.clone());
                owners.len() - 1
            })
        };
        let assignments = ranges.assignments.iter().map(|found| {
            let owner = place(&found.owner);
            let former = found.former.iter().map(&mut place).collect();
            RowAssignment(found.range.first, found.fence, owner, former)
        });
        let assignments = assignments.collect();
        Self {
            service: ranges.service.clone(),
            next_fence: ranges.next_fence,
            owners,
            assignments,
        }
    }
}

impl TryFrom<RangesRow> for ServiceRanges {
    type Error = RangesRowError;

    fn try_from(row: RangesRow) -> Result<Self, RangesRowError> {
        let owner = |place: usize| {
            row.owners
                .get(place)
                .cloned()
                .context(NoOwnerSnafu { place })
        };
        let mut last = u16::MAX;
        let mut assignments = Vec::with_capacity(row.assignments.len());
        for RowAssignment(first, fence, place, former) in row.assignments.iter().rev() {
            let former = former
                .iter()
                .map(|place| owner(*place))
                .collect::<Result<_, _>>()?;
            let (first, range) = (
                *first,
                KeyRange {
                    first: *first,
                    last,
                },
            );
            assignments.push(Assignment {
                range,
                fence: *fence,
                owner: owner(*place)?,
                former,
            });
            last = first.wrapping_sub(1);
        }
        assignments.reverse();
        let ranges = Self {
            service: row.service.clone(),
            next_fence: row.next_fence,
            assignments,
        };
        ensure!(ranges.is_sound(), UnsoundSnafu);
        Ok(ranges)
    }
}

/// Assignments that cannot be right.
#[derive(Debug, Snafu)]
pub enum RangesRowError {
    /// An assignment names an owner that is not listed.
    #[snafu(display("no owner in place {place}"))]
    NoOwner {
        /// The place.
        place: usize,
    },
    /// The ranges do not cover all keys in order, or a token is not below the next one.
    #[snafu(display("the ranges do not cover all keys in order"))]
    Unsound,
}

/// Encodes the value of a row.
///
/// # Errors
///
/// Returns a [`RowError`] if the value has no form in JSON.
pub fn encode_row(key: &Arc<str>, value: &impl Serialize) -> Result<Bytes, RowError> {
    let bytes = serde_json::to_vec(value).context(MalformedSnafu {
        key: Arc::clone(key),
    })?;
    Ok(Bytes::from(bytes))
}

/// Decodes the value of a row.
///
/// # Errors
///
/// Returns a [`RowError`] if the bytes are no value of the row.
pub fn decode_row<T: DeserializeOwned>(key: &Arc<str>, value: &[u8]) -> Result<T, RowError> {
    serde_json::from_slice(value).context(MalformedSnafu {
        key: Arc::clone(key),
    })
}

/// Decodes the row of a service's assignments.
///
/// # Errors
///
/// Returns a [`RowError`] if the bytes are no assignments of all keys.
pub fn decode_ranges(key: &Arc<str>, value: &[u8]) -> Result<ServiceRanges, RowError> {
    let row: RangesRow = decode_row(key, value)?;
    ServiceRanges::try_from(row).context(RangesSnafu {
        key: Arc::clone(key),
    })
}
