//! Ranges of keys and who owns them.
//!
//! See [the platform page](../../../docs/platform.md#ownership-of-keys).

use crate::{ServiceName, StartTime, UpstreamName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// A key of a service that is divided by key.
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

    /// Returns whether the range has `key`.
    pub const fn contains(self, key: ShardKey) -> bool {
        self.first <= key.0 && key.0 <= self.last
    }

    /// Returns the number of keys.
    pub const fn len(self) -> u32 {
        self.last as u32 - self.first as u32 + 1
    }

    /// Returns `false`: a range has at least one key.
    pub const fn is_empty(self) -> bool {
        false
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.last)
    }
}

/// A fencing token: an upstream refuses orders on a key with a lower one than it has seen.
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

/// One life of an upstream as an owner of keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its life.
    pub born: StartTime,
    /// Where this life takes orders, also after its entry has vanished from the platform's list.
    pub address: SocketAddr,
}

/// Who owns a range of keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The keys.
    pub range: KeyRange,
    /// The token of the owner's grants.
    pub fence: FencingToken,
    /// The owner.
    pub owner: Owner,
    /// Former owners that may still hold keys of the range; the owner gets it once there are none.
    pub former: Vec<Owner>,
}

impl Assignment {
    /// Returns whether the range is on its way to its owner.
    pub fn is_moving(&self) -> bool {
        !self.former.is_empty()
    }
}

/// The owners of all keys of one service, as the store keeps them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRanges {
    /// The service.
    pub service: ServiceName,
    /// A token above all that were ever used for the service.
    pub next_fence: FencingToken,
    /// The longest hold of any grant so far in milliseconds, if it is longer than usual, or 0.
    pub long_hold_ms: u64,
    /// The version of the row of the last leader that knew the end of all leaders before it, or 0.
    pub settled_lead: u64,
    /// The assignments in the order of their keys; they cover all keys or none.
    pub assignments: Vec<Assignment>,
}

impl ServiceRanges {
    /// Makes the state of a service of which no key was ever assigned.
    pub const fn new(service: ServiceName) -> Self {
        Self {
            service,
            next_fence: FencingToken(1),
            long_hold_ms: 0,
            settled_lead: 0,
            assignments: Vec::new(),
        }
    }

    /// Returns the assignment that has `key`.
    pub fn find(&self, key: ShardKey) -> Option<&Assignment> {
        let after = self
            .assignments
            .partition_point(|found| found.range.first <= key.0);
        let found = self.assignments.get(after.checked_sub(1)?)?;
        found.range.contains(key).then_some(found)
    }

    /// Takes the next token.
    pub const fn allocate_fence(&mut self) -> FencingToken {
        let fence = self.next_fence;
        self.next_fence = FencingToken(fence.0 + 1);
        fence
    }

    /// Returns whether the assignments cover all keys in order, or there are none.
    pub fn is_valid(&self) -> bool {
        let Some((first, last)) = self.assignments.first().zip(self.assignments.last()) else {
            return true;
        };
        let pairs = self.assignments.iter().zip(self.assignments.iter().skip(1));
        let joined =
            |(a, b): (&Assignment, &Assignment)| a.range.last.checked_add(1) == Some(b.range.first);
        first.range.first == 0
            && last.range.last == u16::MAX
            && pairs.into_iter().all(joined)
            && self
                .assignments
                .iter()
                .all(|found| found.range.first <= found.range.last && found.fence < self.next_fence)
    }
}
