//! Numeric identifiers.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::fmt;
use std::hash::Hasher;

macro_rules! numeric_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

numeric_id! {
    /// The number of committed changes in a control state; epoch 0 is the empty state.
    ///
    /// See [the design page, section 4](../../../docs/design.md#4-control-state).
    Epoch
}
numeric_id! {
    /// Identifies one run of a daemon or upstream process; chosen at random at process start.
    Incarnation
}
numeric_id! {
    /// Numbers the rounds of heartbeats; a reply counts only for the round that it replies to.
    Round
}
numeric_id! {
    /// Identifies one attempt to commit, so that the daemon recognises its own write when the
    /// response was lost.
    AttemptId
}
numeric_id! {
    /// Identifies requests that are equal in member, method, path, key and body digest.
    Fingerprint
}
numeric_id! {
    /// The stable 64-bit hash of a key within its service.
    KeyHash
}
numeric_id! {
    /// The unit of ownership: a slice of the key space, or a single hot key if the top bit is set.
    UnitId
}

impl Epoch {
    /// Returns the epoch of the next committed change.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The fixed keys of the hash. Every daemon must use the same ones, because all daemons must map a
/// key to the same slice.
const KEY_HASH_SEEDS: (u64, u64) = (0x6261_6c73_616d_7377, 0x6974_6368_2d6b_6579);

impl KeyHash {
    /// Hashes `key` with SipHash-1-3 and fixed keys, so that every daemon computes the same value.
    pub fn of(key: impl AsRef<[u8]>) -> Self {
        let mut hasher = SipHasher13::new_with_keys(KEY_HASH_SEEDS.0, KEY_HASH_SEEDS.1);
        hasher.write(key.as_ref());
        Self(hasher.finish())
    }
}

/// The bit that distinguishes hot-key units from slices, whose numbers are small.
const HOT_KEY_BIT: u64 = 1 << 63;

impl UnitId {
    /// Returns the slice that contains `key` when the key space has `slices` slices.
    ///
    /// `slices` must be at least 1.
    pub const fn slice_of(key: KeyHash, slices: u64) -> Self {
        Self(key.0 % slices)
    }

    /// Returns the unit that contains only the hot key `key`.
    pub const fn hot_key(key: KeyHash) -> Self {
        Self(key.0 | HOT_KEY_BIT)
    }

    /// Returns whether this unit is a single hot key.
    pub const fn is_hot_key(self) -> bool {
        self.0 & HOT_KEY_BIT != 0
    }
}
