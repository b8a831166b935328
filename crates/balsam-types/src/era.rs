//! The era of the store, and versions that contain it.
//!
//! See [the design note](../../../docs/design/store-era.md).

use crate::FencingToken;
use serde::{Deserialize, Serialize};

/// Number of low bits of a version that contain the store's own number. A store that gives out a
/// million versions a second reaches the limit after nine years.
const NUMBER_BITS: u32 = 48;

/// Number of low bits of a fencing token that are allocated within one era. Together with the era a
/// token has 48 bits, which every JSON parser represents exactly.
const FENCE_BITS: u32 = 32;

/// How often the store was restored from an older copy.
///
/// A restored store issues versions again, so versions are compared only within one era. A version
/// therefore contains its era in the bits above the store's own number: a version of a later era is
/// greater than every version of an earlier one. In era 0 a version equals the store's number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u16);

impl StoreEra {
    /// Returns the version with the store's own `number`, or `None` if the number is too large.
    pub const fn version(self, number: u64) -> Option<u64> {
        if number >> NUMBER_BITS == 0 {
            Some(self.absent() | number)
        } else {
            None
        }
    }

    /// Returns the version of a row that does not exist in this era.
    pub const fn absent(self) -> u64 {
        (self.0 as u64) << NUMBER_BITS
    }

    /// Returns the era of a version.
    pub const fn of(version: u64) -> Self {
        Self((version >> NUMBER_BITS) as u16)
    }

    /// Returns the store's own number of a version; 0 stands for a row that does not exist.
    pub const fn number(version: u64) -> u64 {
        version & ((1 << NUMBER_BITS) - 1)
    }

    /// Returns the lowest fencing token that a leader of this era may issue. Earlier eras have
    /// issued lower ones only.
    pub const fn first_fence(self) -> FencingToken {
        FencingToken((self.0 as u64) << FENCE_BITS)
    }
}
