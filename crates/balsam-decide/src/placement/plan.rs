//! The order in which the planner's rules apply.

use super::loads::Loads;
use super::{PlanInput, PlanStep, balance, hot, owners};

/// Plans the next steps for one service.
///
/// Units without an available owner come first and without limit. Hot keys and balance share what
/// is left of the moves per minute. Units that are already moving are never planned.
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
    // Measured load follows a move with a delay of seconds. Balancing on it sooner would repeat
    // moves and undo them later, so a round starts only when the last one is a minute ago.
    if input.recent_moves > 0 || !hot_steps.is_empty() {
        budget = 0;
    }
    steps.extend(hot_steps);
    steps.extend(balance::plan_balance(input, &mut loads, budget));
    steps
}
