//! Guards against moves of units without a majority of the daemons, and against rosters that can
//! never be closed because their majority is lost.

mod common;

use balsam_decide::node::{CommandFailure, CommandResult, OperatorCommand};
use balsam_types::Incarnation;
use common::world::World;

const SEEDS: u64 = 20;

/// Longer than moves of units take while a majority is alive, in milliseconds.
const NO_MOVE_MS: u64 = 5_000;

/// Longer than the time-out of a command without a majority, in milliseconds.
const PENDING_MS: u64 = 4_000;

/// Ends all daemons but the first, and freezes the owner of some units.
fn lose_majority(world: &mut World) -> Vec<Incarnation> {
    let lost: Vec<usize> = (1..world.nodes.len()).collect();
    let incarnations = lost
        .iter()
        .map(|node| Incarnation(world.nodes[*node].boot_id))
        .collect();
    for node in &lost {
        world.kill_node(*node);
    }
    world.freeze_forever(0);
    incarnations
}

#[test]
fn nothing_moves_until_lost_daemons_are_forgotten() {
    for seed in 0..SEEDS {
        let mut world = World::settled(seed);
        let lost = lose_majority(&mut world);
        world.run_until(world.t + NO_MOVE_MS);
        assert!(!world.all_served(), "seed {seed}: moved without a majority");
        for incarnation in lost {
            let request = world.command(0, OperatorCommand::Forget { incarnation });
            world.run_until(world.t + PENDING_MS);
            // The last daemon is no longer known if the removal of the others was enough to close
            // all old rosters.
            let answer = &world.answers[&request];
            let known = !matches!(
                answer,
                CommandResult::Refused(CommandFailure::NotFound { .. })
            );
            let rosters = world.table.state.open_rosters.len();
            assert!(known || rosters == 1, "seed {seed}: {answer:?}");
        }
        world.run_until(world.t + NO_MOVE_MS);
        assert!(world.all_served(), "seed {seed}: {}", world.describe());
        assert_eq!(world.checks.violation, None, "seed {seed}");
    }
}

#[test]
fn restarted_daemons_prove_that_the_lost_ones_have_ended() {
    for seed in 0..SEEDS {
        let mut world = World::settled(seed);
        lose_majority(&mut world);
        world.run_until(world.t + NO_MOVE_MS);
        for node in 1..world.nodes.len() {
            world.restart_node(node);
        }
        world.run_until(world.t + NO_MOVE_MS);
        assert!(world.all_served(), "seed {seed}: {}", world.describe());
        assert_eq!(world.checks.violation, None, "seed {seed}");
    }
}
