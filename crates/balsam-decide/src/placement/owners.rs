//! Owners for units that have none or lose theirs.

use super::loads::{Loads, Unowned};
use super::{PlanInput, PlanStep};
use balsam_types::control::{MoveReason, UnitMove, UpstreamStatus};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// How full an upstream is; ties go to the upstream that comes first.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Fill {
    ratio: f64,
    at: usize,
}

impl Eq for Fill {}

impl Ord for Fill {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_ratio = self.ratio.total_cmp(&other.ratio);
        by_ratio.then(self.at.cmp(&other.at))
    }
}

impl PartialOrd for Fill {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Gives every unit without an available owner to the least filled upstream, heaviest unit first.
pub(super) fn plan_owners(input: &PlanInput<'_>, loads: &mut Loads<'_>) -> Vec<PlanStep> {
    let mut unowned = std::mem::take(&mut loads.unowned);
    unowned.sort_by(|a, b| b.cost.total_cmp(&a.cost).then(a.unit.cmp(&b.unit)));
    let mut heap: BinaryHeap<Reverse<Fill>> = loads
        .hosts
        .iter()
        .enumerate()
        .filter(|(_, host)| host.weight > 0.0)
        .map(|(at, host)| {
            let ratio = host.ratio();
            Reverse(Fill { ratio, at })
        })
        .collect();
    let mut steps = Vec::with_capacity(unowned.len());
    for unit in unowned {
        let Some(Reverse(Fill { at, .. })) = heap.pop() else {
            return steps;
        };
        let host = &mut loads.hosts[at];
        host.gain(unit.cost);
        let ratio = host.ratio();
        heap.push(Reverse(Fill { ratio, at }));
        steps.push(step(input, unit, at));
    }
    steps
}

fn step(input: &PlanInput<'_>, unowned: Unowned, to: usize) -> PlanStep {
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
