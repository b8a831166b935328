//! The planner's entry point, which applies its rules in order.

use super::loads::Loads;
use super::{PlanInput, PlanStep, balance, hot, owners};

/// Plans the next steps for one service.
///
/// Units without an available owner come first and are not limited. Hot keys and balancing share
/// the moves per minute of the policy, less the moves that they made in the last minute. Units that
/// are already moving are never planned.
pub fn plan(input: &PlanInput<'_>) -> Vec<PlanStep> {
    let mut loads = Loads::new(input);
    if !loads.has_targets() {
        return Vec::new();
    }
    let mut steps = owners::plan_owners(input, &mut loads);
    let mut budget = input
        .policy
        .moves_per_minute
        .saturating_sub(input.recent_moves);
    let mut hot_steps = hot::plan_merges(input, &mut loads, &mut budget);
    hot_steps.extend(hot::plan_splits(input, &mut loads, &mut budget));
    // The measured load shows a move only after several seconds. Balancing before that would
    // repeat moves and undo them later, so balancing waits until a minute has passed without a
    // balancing or hot-key move.
    if input.recent_moves > 0 || !hot_steps.is_empty() {
        budget = 0;
    }
    steps.extend(hot_steps);
    steps.extend(balance::plan_balance(input, &mut loads, budget));
    steps
}
