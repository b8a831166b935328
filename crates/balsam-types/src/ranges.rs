//! Key ranges and their owners.
//!
//! See [the platform page](../../../docs/platform.md#ownership-of-keys).

use crate::{ServiceName, StartTime, UpstreamName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// The shard key of a request to a keyed service.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ShardKey(pub u16);

/// An inclusive range of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
}

impl KeyRange {
    /// All keys of a service.
    pub const ALL: Self = Self {
        first: 0,
        last: u16::MAX,
    };

    /// Returns whether the range contains `key`.
    pub const fn contains(self, key: ShardKey) -> bool {
        self.first <= key.0 && key.0 <= self.last
    }

    /// Returns the number of keys in the range.
    pub const fn len(self) -> u32 {
        self.last as u32 - self.first as u32 + 1
    }

    /// Always returns `false`, because an inclusive range contains at least one key.
    pub const fn is_empty(self) -> bool {
        false
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.last)
    }
}

/// A fencing token. An upstream rejects a grant or release for a key if its token is lower than the
/// highest one the upstream has seen for that key.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// One run of an upstream process as an owner of keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The name of the upstream.
    pub upstream: UpstreamName,
    /// The start time, which identifies the run.
    pub born: StartTime,
    /// The address for grants and releases, also valid after the upstream has disappeared from the
    /// platform's list.
    pub address: SocketAddr,
}

/// The assignment of a key range to an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The assigned keys.
    pub range: KeyRange,
    /// The fencing token of the owner's grants.
    pub fence: FencingToken,
    /// The owner that the range is assigned to.
    pub owner: Owner,
    /// Former owners that may still hold keys of the range. The range is granted to the owner only
    /// when this list is empty.
    pub former: Vec<Owner>,
}

impl Assignment {
    /// Returns whether the range is still being handed over to its owner.
    pub fn is_moving(&self) -> bool {
        !self.former.is_empty()
    }
}

/// The assignments of all keys of one service, as persisted in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRanges {
    /// The service.
    pub service: ServiceName,
    /// The next unused token, greater than every token ever issued for the service.
    pub next_fence: FencingToken,
    /// The longest duration of any grant so far in milliseconds, if it exceeds the usual duration;
    /// otherwise 0.
    pub long_hold_ms: u64,
    /// The row version of the last leader that knew that all earlier leaders had ended, or 0.
    pub settled_lead: u64,
    /// The assignments in key order. They cover either all keys or none.
    pub assignments: Vec<Assignment>,
}

impl ServiceRanges {
    /// Creates the state of a service without any assignment.
    pub const fn new(service: ServiceName) -> Self {
        Self {
            service,
            next_fence: FencingToken(1),
            long_hold_ms: 0,
            settled_lead: 0,
            assignments: Vec::new(),
        }
    }

    /// Returns the assignment whose range contains `key`.
    pub fn find(&self, key: ShardKey) -> Option<&Assignment> {
        let next_index = self
            .assignments
            .partition_point(|entry| entry.range.first <= key.0);
        let entry = self.assignments.get(next_index.checked_sub(1)?)?;
        entry.range.contains(key).then_some(entry)
    }

    /// Returns the next fencing token and advances the counter.
    pub const fn allocate_fence(&mut self) -> FencingToken {
        let fence = self.next_fence;
        self.next_fence = FencingToken(fence.0 + 1);
        fence
    }

    /// Returns whether there are no assignments, or they cover all keys in order without gaps or
    /// overlaps and every token was issued by [`Self::allocate_fence`].
    pub fn is_valid(&self) -> bool {
        let Some((first, last)) = self.assignments.first().zip(self.assignments.last()) else {
            return true;
        };
        let pairs = self.assignments.iter().zip(self.assignments.iter().skip(1));
        let is_adjacent =
            |(a, b): (&Assignment, &Assignment)| a.range.last.checked_add(1) == Some(b.range.first);
        first.range.first == 0
            && last.range.last == u16::MAX
            && pairs.into_iter().all(is_adjacent)
            && self
                .assignments
                .iter()
                .all(|entry| entry.range.first <= entry.range.last && entry.fence < self.next_fence)
    }
}
