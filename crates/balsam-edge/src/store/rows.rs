//! The cluster rows: the rows of the store that the daemons themselves write.

use balsam_types::{
    Assignment, FencingToken, KeyRange, Map, Owner, ServiceName, ServiceRanges, StoreEra, new_map,
};
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use std::sync::Arc;

/// Reason that a row cannot be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum RowError {
    /// The value is not valid for the row.
    #[snafu(display("row {key}: {source}"))]
    Malformed {
        /// The key of the row.
        key: Arc<str>,
        /// The cause.
        source: serde_json::Error,
    },
}

/// The meaning of the key of a cluster row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClusterRowKey {
    /// The leader.
    Lead,
    /// The election of the last leader of an era of the store, written together with its row.
    Term(StoreEra),
    /// The assignments of a service, split over rows that are numbered from 0.
    Ranges(ServiceName, u16),
    /// The requests that are refused because they crash upstreams.
    Refused,
}

const LEAD: &str = "lead";
const TERM: &str = "lead/";
const RANGES: &str = "ranges/";
const REFUSED: &str = "refused";

impl ClusterRowKey {
    /// Returns the key of the row.
    pub fn text(&self) -> Arc<str> {
        match self {
            Self::Lead => Arc::from(LEAD),
            Self::Term(era) => Arc::from(format!("{TERM}{}", era.0)),
            Self::Refused => Arc::from(REFUSED),
            Self::Ranges(service, 0) => Arc::from(format!("{RANGES}{service}")),
            Self::Ranges(service, part) => Arc::from(format!("{RANGES}{service}/{part}")),
        }
    }

    /// Parses a key. Returns `None` for a key that another program has written.
    pub fn from_text(text: &str) -> Option<Self> {
        if text == LEAD {
            return Some(Self::Lead);
        }
        if text == REFUSED {
            return Some(Self::Refused);
        }
        if let Some(era) = text.strip_prefix(TERM) {
            return Some(Self::Term(StoreEra(era.parse().ok()?)));
        }
        let rest = text.strip_prefix(RANGES)?;
        let (service, part) = match rest.split_once('/') {
            Some((service, part)) => (service, part.parse().ok()?),
            None => (rest, 0),
        };
        let service = ServiceName::new(service).ok()?;
        Some(Self::Ranges(service, part))
    }
}

/// A row of a service's assignments. If there are many, they are split over several rows that are
/// written together.
///
/// Owners are listed once in each row, and assignments refer to them by index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangesRow {
    service: ServiceName,
    next_fence: FencingToken,
    long_hold_ms: u64,
    settled_lead: u64,
    /// The version of the first row before this write. All rows of one write have the same value.
    base: u64,
    /// The number of rows of this write.
    parts: u16,
    owners: Vec<Owner>,
    assignments: Vec<RowAssignment>,
}

/// First key of the range, fencing token, index of the owner and indexes of former owners. The
/// range ends before the first key of the next one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RowAssignment(u16, FencingToken, usize, Vec<usize>);

impl RangesRow {
    /// Splits assignments over rows of at most `max` assignments each. `base` is the version of the
    /// first row before the write.
    pub fn split(ranges: &ServiceRanges, base: u64, max: usize) -> Vec<Self> {
        let pieces = ranges.assignments.chunks(max.max(1));
        let parts = pieces.len().max(1) as u16;
        let row = |assignments: &[Assignment]| {
            let mut owners: Vec<Owner> = Vec::new();
            let mut places: Map<Owner, usize> = new_map();
            let mut place = |owner: &Owner| {
                *places.entry(owner.clone()).or_insert_with(|| {
                    owners.push(owner.clone());
                    owners.len() - 1
                })
            };
            let assignments = assignments.iter().map(|assignment| {
                let owner = place(&assignment.owner);
                let former = assignment.former.iter().map(&mut place).collect();
                RowAssignment(assignment.range.first, assignment.fence, owner, former)
            });
            let assignments = assignments.collect();
            Self {
                service: ranges.service.clone(),
                next_fence: ranges.next_fence,
                long_hold_ms: ranges.long_hold_ms,
                settled_lead: ranges.settled_lead,
                base,
                parts,
                owners,
                assignments,
            }
        };
        if ranges.assignments.is_empty() {
            return vec![row(&[])];
        }
        pieces.map(row).collect()
    }

    /// Joins assignments from their rows, of which the first must come first. Rows beyond the
    /// number that the first one states are ignored, because they are left over from earlier
    /// writes.
    ///
    /// # Errors
    ///
    /// Returns a [`RangesRowError`] if rows are missing or the assignments are inconsistent.
    pub fn join(rows: &[Self]) -> Result<ServiceRanges, RangesRowError> {
        let first = rows.first().context(IncompleteSnafu)?;
        let rows = rows.get(..usize::from(first.parts));
        let rows = rows.context(IncompleteSnafu)?;
        let is_same = |row: &Self| row.base == first.base && row.parts == first.parts;
        ensure!(rows.iter().all(is_same), IncompleteSnafu);
        let mut last = u16::MAX;
        let mut assignments = Vec::new();
        for row in rows.iter().rev() {
            for RowAssignment(first, fence, place, former) in row.assignments.iter().rev() {
                let former = former.iter().map(|place| row.owner(*place));
                assignments.push(Assignment {
                    range: KeyRange {
                        first: *first,
                        last,
                    },
                    fence: *fence,
                    owner: row.owner(*place)?,
                    former: former.collect::<Result<_, _>>()?,
                });
                last = first.wrapping_sub(1);
            }
        }
        assignments.reverse();
        let ranges = ServiceRanges {
            service: first.service.clone(),
            next_fence: first.next_fence,
            long_hold_ms: first.long_hold_ms,
            settled_lead: first.settled_lead,
            assignments,
        };
        ensure!(ranges.is_valid(), UnsoundSnafu);
        Ok(ranges)
    }

    fn owner(&self, place: usize) -> Result<Owner, RangesRowError> {
        self.owners
            .get(place)
            .cloned()
            .context(NoOwnerSnafu { place })
    }
}

/// Reason that the assignments of a service cannot be joined from their rows.
#[derive(Debug, Snafu)]
pub enum RangesRowError {
    /// An assignment refers to an owner that is not listed.
    #[snafu(display("no owner in place {place}"))]
    NoOwner {
        /// The index of the owner.
        place: usize,
    },
    /// Not all rows of one write are present.
    #[snafu(display("not all rows of one write"))]
    Incomplete,
    /// The ranges do not cover all keys in order, or a fencing token is not below the next one to
    /// be issued.
    #[snafu(display("the ranges do not cover all keys in order"))]
    Unsound,
}

/// Encodes the value of a row.
///
/// # Errors
///
/// Returns a [`RowError`] if the value cannot be expressed in JSON.
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
/// Returns a [`RowError`] if the bytes are not a valid value of the row.
pub fn decode_row<T: DeserializeOwned>(key: &Arc<str>, value: &[u8]) -> Result<T, RowError> {
    serde_json::from_slice(value).context(MalformedSnafu {
        key: Arc::clone(key),
    })
}
