//! Assignment of units that have no available owner.

use super::loads::{Loads, Unowned};
use super::{PlanInput, PlanStep};
use balsam_types::control::{MoveReason, UnitMove, UpstreamStatus};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// The held cost per slot of an upstream.
///
/// Of upstreams with equal values, the one with the lower index comes first.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HostRatio {
    ratio: f64,
    index: usize,
}

impl Eq for HostRatio {}

impl Ord for HostRatio {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_ratio = self.ratio.total_cmp(&other.ratio);
        by_ratio.then(self.index.cmp(&other.index))
    }
}

impl PartialOrd for HostRatio {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Assigns every unit without an available owner to the least loaded upstream.
///
/// The units of the highest cost come first, so that the others even out the differences that they
/// leave.
pub(super) fn plan_owners(input: &PlanInput<'_>, loads: &mut Loads<'_>) -> Vec<PlanStep> {
    let mut unowned = std::mem::take(&mut loads.unowned);
    unowned.sort_by(|a, b| b.cost.total_cmp(&a.cost).then(a.unit.cmp(&b.unit)));
    let mut heap: BinaryHeap<Reverse<HostRatio>> = loads
        .hosts
        .iter()
        .enumerate()
        .filter(|(_, host)| host.weight > 0.0)
        .map(|(index, host)| {
            let ratio = host.ratio();
            Reverse(HostRatio { ratio, index })
        })
        .collect();
    let mut steps = Vec::with_capacity(unowned.len());
    for unit in unowned {
        let Some(Reverse(HostRatio { index, .. })) = heap.pop() else {
            return steps;
        };
        let host = &mut loads.hosts[index];
        host.add_unit(unit.cost);
        let ratio = host.ratio();
        heap.push(Reverse(HostRatio { ratio, index }));
        steps.push(owner_step(input, unit, index));
    }
    steps
}

fn owner_step(input: &PlanInput<'_>, unowned: Unowned, to: usize) -> PlanStep {
    let to = input.upstreams[to].name.clone();
    let unit = unowned.unit;
    let Some(from) = unowned.from.map(|from| &input.upstreams[from]) else {
        return PlanStep::Assign { unit, to };
    };
    let reason = match from.status {
        UpstreamStatus::Lost => MoveReason::OwnerLost,
        UpstreamStatus::Draining => MoveReason::OwnerDraining,
        UpstreamStatus::Active => MoveReason::Balance,
    };
    PlanStep::Move(UnitMove {
        unit,
        from: from.name.clone(),
        to,
        reason,
    })
}
