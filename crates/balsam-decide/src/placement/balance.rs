//! Moves that even out load and keys.

use super::loads::{Host, Loads};
use super::{PlanInput, PlanStep};
use balsam_types::UnitId;
use balsam_types::control::{MoveReason, UnitMove};

/// Plans moves from the fullest to the least filled upstream while they pay for themselves.
///
/// Balancing starts when the gap between the two exceeds the margin and ends at half of it, so
/// that noise in the load does not start the next round at once. Moves to an upstream that is being
/// filled are limited by its warm-up and not by the moves per minute, which would stretch the
/// warm-up of one upstream among 20 to minutes.
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
        let low = loads.least_filled(|at| budget > 0 || loads.is_filling(at));
        let (Some(full), Some(low)) = (fullest(loads, &exhausted), low) else {
            break;
        };
        let gap = loads.hosts[full].ratio() - loads.hosts[low].ratio();
        let enough = if steps.is_empty() {
            margin
        } else {
            margin / 2.0
        };
        if full == low || gap <= enough {
            break;
        }
        if !std::mem::replace(&mut sorted[full], true) {
            sort_by_cost(&mut loads.hosts[full].movable);
        }
        let Some((cost, unit)) = choose(&loads.hosts[full], &loads.hosts[low], mean, margin) else {
            exhausted[full] = true;
            continue;
        };
        if !loads.is_filling(low) {
            budget -= 1;
        }
        loads.shift(unit, cost, full, low);
        steps.push(PlanStep::Move(UnitMove {
            unit,
            from: input.upstreams[full].name.clone(),
            to: input.upstreams[low].name.clone(),
            reason: MoveReason::Balance,
        }));
    }
    steps
}

fn sort_by_cost(units: &mut [(f64, UnitId)]) {
    units.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
}

fn fullest(loads: &Loads<'_>, exhausted: &[bool]) -> Option<usize> {
    let givers =
        (0..loads.hosts.len()).filter(|at| !exhausted[*at] && loads.hosts[*at].weight > 0.0);
    // The reversed order makes the first of equal hosts win.
    givers
        .rev()
        .max_by(|a, b| loads.hosts[*a].ratio().total_cmp(&loads.hosts[*b].ratio()))
}

/// Returns the heaviest unit whose move pays for itself, so that few units have to move.
///
/// A unit that brings both hosts towards the mean always does. A unit that overshoots by up to the
/// margin must narrow the gap by the margin, so that it does not move back in the next round.
fn choose(full: &Host<'_>, low: &Host<'_>, mean: f64, margin: f64) -> Option<(f64, UnitId)> {
    let excess = full.held - mean * full.weight;
    let room = mean * low.weight - low.held;
    let fits = excess.min(room);
    let heaviest_within = |limit: f64| {
        let within = full.movable.partition_point(|(cost, _)| *cost <= limit);
        Some(full.movable[within.checked_sub(1)?])
    };
    let pays = |(cost, _): &(f64, UnitId)| {
        *cost <= fits || (low.held + cost) / low.weight + margin <= full.ratio()
    };
    let overshooting = heaviest_within(fits + margin * low.weight).filter(pays);
    overshooting
        .or_else(|| heaviest_within(fits))
        .or_else(|| full.movable.first().copied().filter(pays))
}
