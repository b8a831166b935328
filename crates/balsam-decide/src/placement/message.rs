//! The input and output of the planner.

use crate::control::ServicePlacement;
use crate::settings::ServicePolicy;
use balsam_types::control::{UnitMove, UpstreamStatus};
use balsam_types::{KeyHash, Map, TimeMs, UnitId, UpstreamName};

/// The planner's view of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanUpstream {
    /// The upstream.
    pub name: UpstreamName,
    /// Whether it can own units.
    pub status: UpstreamStatus,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// Its load, in milliseconds of slot time per second.
    pub load: f64,
    /// When it became active, on the placer's clock; it is filled gradually from then on.
    pub active_since: TimeMs,
    /// Its heaviest keys with their load, in milliseconds of slot time per second.
    pub heavy_keys: Vec<(KeyHash, f64)>,
}

/// The planner's input for one service.
#[derive(Debug)]
pub struct PlanInput<'a> {
    /// The time on the placer's clock.
    pub now: TimeMs,
    /// The policy of the service.
    pub policy: &'a ServicePolicy,
    /// The upstreams of the service in the order of their names.
    pub upstreams: &'a [PlanUpstream],
    /// The owner of each unit.
    pub placement: &'a ServicePlacement,
    /// The load of the units for which it is known, in milliseconds of slot time per second.
    pub unit_loads: &'a Map<UnitId, f64>,
    /// The number of units that balancing moved in the last minute.
    pub recent_moves: u64,
}

/// One step for the placer to commit.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanStep {
    /// An unassigned unit gets its first owner.
    Assign {
        /// The unit.
        unit: UnitId,
        /// The owner.
        to: UpstreamName,
    },
    /// An owned unit moves.
    Move(UnitMove),
    /// A hot key becomes a unit of its own and moves.
    Split {
        /// The key.
        key: KeyHash,
        /// Its next owner.
        to: UpstreamName,
    },
    /// A key that is no longer hot returns to its slice, which has the same owner.
    Merge {
        /// The key.
        key: KeyHash,
    },
}
