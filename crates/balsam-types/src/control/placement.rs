//! Ownership of units and their moves between upstreams.

use crate::{Epoch, UnitId, UpstreamName};
use serde::{Deserialize, Serialize};

/// The ownership state of a unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnitOwner {
    /// The upstream owns the unit.
    Owned(UpstreamName),
    /// The unit is being handed over, and neither the old nor the new owner serves it.
    Moving {
        /// The former owner, whose grant must end before the next owner takes over.
        from: UpstreamName,
        /// The next owner.
        to: UpstreamName,
        /// The epoch that suspended the unit.
        since_epoch: Epoch,
    },
}

/// Why a unit moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveReason {
    /// The owner stopped responding.
    OwnerLost,
    /// The owner is leaving or draining.
    OwnerDraining,
    /// The move balances load between upstreams.
    Balance,
    /// The unit is a hot key that was split off from its slice.
    HotKey,
}

/// A move of one unit to another owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitMove {
    /// The unit that moves.
    pub unit: UnitId,
    /// The current owner.
    pub from: UpstreamName,
    /// The next owner.
    pub to: UpstreamName,
    /// Why the unit moves.
    pub reason: MoveReason,
}
