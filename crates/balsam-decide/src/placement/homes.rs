//! Owners for units that have none or lose theirs.

use super::ledger::{Homeless, Ledger};
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
pub(super) fn plan_homes(input: &PlanInput<'_>, ledger: &mut Ledger<'_>) -> Vec<PlanStep> {
    let mut homeless = std::mem::take(&mut ledger.homeless);
    homeless.sort_by(|a, b| b.cost.total_cmp(&a.cost).then(a.unit.cmp(&b.unit)));
    let mut heap: BinaryHeap<Reverse<Fill>> = ledger
        .hosts
        .iter()
        .enumerate()
        .filter(|(_, host)| host.weight > 0.0)
        .map(|(at, host)| {
            let ratio = host.ratio();
            Reverse(Fill { ratio, at })
        })
        .collect();
    let mut steps = Vec::with_capacity(homeless.len());
    for unit in homeless {
        let Some(Reverse(Fill { at, .. })) = heap.pop() else {
            return steps;
        };
        let host = &mut ledger.hosts[at];
        host.gain(unit.cost);
        let ratio = host.ratio();
        heap.push(Reverse(Fill { ratio, at }));
        steps.push(step(input, unit, at));
    }
    steps
}

fn step(input: &PlanInput<'_>, homeless: Homeless, to: usize) -> PlanStep {
    let to = input.upstreams[to].name.clone();
    let unit = homeless.unit;
    let Some(from) = homeless.from.map(|from| &input.upstreams[from]) else {
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
