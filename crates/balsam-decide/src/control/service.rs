//! Unit ownership within one service.

use balsam_types::control::UnitOwner;
use balsam_types::{KeyHash, UnitId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The owners of a service's units.
///
/// A unit is a slice of the key space, or a single hot key that was split off its slice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePlacement {
    /// The owner of each unit that has one; a missing unit is unassigned.
    pub units: BTreeMap<UnitId, UnitOwner>,
    /// The hot keys that are split off their slices and form units of their own.
    pub hot_keys: BTreeSet<KeyHash>,
}

impl ServicePlacement {
    /// Returns the unit that contains `key`, for a service with `slices` slices.
    pub fn unit_of(&self, key: KeyHash, slices: u64) -> UnitId {
        if self.hot_keys.contains(&key) {
            return UnitId::hot_key(key);
        }
        UnitId::slice_of(key, slices)
    }
}
