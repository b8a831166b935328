//! Ownership of units.

use crate::{Epoch, UnitId, UpstreamName};
use serde::{Deserialize, Serialize};

/// Who owns a unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnitOwner {
    /// The upstream owns the unit.
    Owned(UpstreamName),
    /// The unit is between two owners and is served by neither.
    Moving {
        /// The former owner, whose grant must end first.
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
    /// The owner does not answer.
    OwnerLost,
    /// The owner is leaving or was told to drain.
    OwnerDraining,
    /// The move evens out load.
    Balance,
    /// The unit is a hot key that was split off.
    HotKey,
}

/// The start of a move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitMove {
    /// The unit.
    pub unit: UnitId,
    /// The owner that gives the unit up.
    pub from: UpstreamName,
    /// The next owner.
    pub to: UpstreamName,
    /// Why it moves.
    pub reason: MoveReason,
}
