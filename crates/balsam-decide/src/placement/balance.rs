//! Moves that balance the load and the number of keys of the upstreams.

use super::loads::{Host, Loads};
use super::{PlanInput, PlanStep};
use balsam_types::UnitId;
use balsam_types::control::{MoveReason, UnitMove};

/// Plans moves from the most to the least loaded upstream as long as they are worthwhile.
///
/// Balancing starts when the gap between the two exceeds the margin and ends at half of it, so
/// that noise in the measured load does not start the next round at once. Moves to an upstream that
/// is being filled are limited by its warm-up and not by the moves per minute, which would stretch
/// the warm-up of one upstream among 20 to minutes.
pub(super) fn plan_balance(
    input: &PlanInput<'_>,
    loads: &mut Loads<'_>,
    mut budget: u64,
) -> Vec<PlanStep> {
    let mean = loads.mean_ratio();
    let margin = mean * input.policy.move_margin_percent as f64 / 100.0;
    let mut steps = Vec::new();
    let mut exhausted = vec![false; loads.hosts.len()];
    let mut sorted = vec![false; loads.hosts.len()];
    loop {
        let target = loads.least_loaded(|index| budget > 0 || loads.is_filling(index));
        let (Some(source), Some(target)) = (most_loaded(loads, &exhausted), target) else {
            break;
        };
        let gap = loads.hosts[source].ratio() - loads.hosts[target].ratio();
        let min_gap = if steps.is_empty() {
            margin
        } else {
            margin / 2.0
        };
        if source == target || gap <= min_gap {
            break;
        }
        if !std::mem::replace(&mut sorted[source], true) {
            sort_by_cost(&mut loads.hosts[source].movable);
        }
        let Some((cost, unit)) =
            choose_unit(&loads.hosts[source], &loads.hosts[target], mean, margin)
        else {
            exhausted[source] = true;
            continue;
        };
        if !loads.is_filling(target) {
            budget -= 1;
        }
        loads.record_move(unit, cost, source, target);
        steps.push(PlanStep::Move(UnitMove {
            unit,
            from: input.upstreams[source].name.clone(),
            to: input.upstreams[target].name.clone(),
            reason: MoveReason::Balance,
        }));
    }
    steps
}

fn sort_by_cost(units: &mut [(f64, UnitId)]) {
    units.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
}

fn most_loaded(loads: &Loads<'_>, exhausted: &[bool]) -> Option<usize> {
    let sources = (0..loads.hosts.len())
        .filter(|index| !exhausted[*index] && loads.hosts[*index].weight > 0.0);
    // `max_by` returns the last of equal hosts; the reversed order makes that the first one.
    sources
        .rev()
        .max_by(|a, b| loads.hosts[*a].ratio().total_cmp(&loads.hosts[*b].ratio()))
}

/// Returns the unit of the highest cost that is worth moving, so that few units have to move.
///
/// A unit that brings both hosts closer to the mean is always worth moving. A unit that overshoots
/// the mean must leave the target below the source's present ratio by the margin, so that it does
/// not move back in the next round.
fn choose_unit(
    source: &Host<'_>,
    target: &Host<'_>,
    mean: f64,
    margin: f64,
) -> Option<(f64, UnitId)> {
    let excess = source.held_cost - mean * source.weight;
    let headroom = mean * target.weight - target.held_cost;
    let fits = excess.min(headroom);
    let costliest_within = |limit: f64| {
        let end = source.movable.partition_point(|(cost, _)| *cost <= limit);
        Some(source.movable[end.checked_sub(1)?])
    };
    let is_worthwhile = |(cost, _): &(f64, UnitId)| {
        *cost <= fits || (target.held_cost + cost) / target.weight + margin <= source.ratio()
    };
    let overshooting = costliest_within(fits + margin * target.weight).filter(is_worthwhile);
    overshooting
        .or_else(|| costliest_within(fits))
        .or_else(|| source.movable.first().copied().filter(is_worthwhile))
}
