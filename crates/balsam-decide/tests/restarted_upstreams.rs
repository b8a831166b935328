//! Guards against an upstream that forgets its fence by a restart and gets its former units again.

mod common;

use balsam_decide::lease::Safeguard;
use balsam_types::control::UnitOwner;
use balsam_types::{Incarnation, UnitId};
use common::check::Violation;
use common::participants::{Place, service, upstream_name};
use common::world::World;

const SEEDS: u64 = 30;

/// What the dispatcher of the restarted upstream is cut off from.
#[derive(Clone, Copy, Debug)]
enum Cut {
    /// From all daemons and the table; it still holds a right when the units move.
    Alone,
    /// From the table and the daemon that reaches it; it renews its right with the others.
    WithMajority,
}

struct Scene {
    upstream: usize,
    dispatcher: usize,
    placer: usize,
    world: World,
}

fn daemon_of(world: &World, incarnation: Option<Incarnation>) -> usize {
    let mut processes = world.nodes.iter();
    let found = processes.position(|process| Some(Incarnation(process.life)) == incarnation);
    found.expect("the daemon runs")
}

/// Makes a world with an owner whose dispatcher is not the placer.
fn scene(seed: u64, without: Option<Safeguard>) -> Option<Scene> {
    let world = World::settled_without(seed, without);
    let state = &world.table.state;
    let placer = daemon_of(&world, state.placer);
    let owner = state.owner_of(&service(), UnitId(0));
    let Some(UnitOwner::Owned(name)) = owner else {
        return None;
    };
    let upstream = world.upstream_named(name)?;
    let info = &state.upstreams[&upstream_name(upstream)];
    let dispatcher = daemon_of(&world, info.dispatcher);
    (dispatcher != placer).then_some(Scene {
        upstream,
        dispatcher,
        placer,
        world,
    })
}

/// Lets the units of an upstream move by its acknowledgement, and restarts it at that moment.
fn restart_after_move(scene: Scene, cut: Cut) -> World {
    let Scene {
        mut world,
        upstream,
        dispatcher,
        placer,
    } = scene;
    let nodes: Vec<usize> = (0..world.nodes.len()).collect();
    let (one_side, other_side): (Vec<usize>, Vec<usize>) =
        nodes.iter().partition(|node| match cut {
            Cut::Alone => **node == dispatcher,
            Cut::WithMajority => **node != placer,
        });
    for node in &one_side {
        world.cut_links.insert((Place::Node(*node), Place::Table));
        for other in &other_side {
            world
                .cut_links
                .insert((Place::Node(*node), Place::Node(*other)));
        }
    }
    world.leave_upstream(upstream);
    let until = world.t + 2_000;
    while world.t < until {
        world.run_until(world.t + 1);
        let owner = world.table.state.owner_of(&service(), UnitId(0));
        if !matches!(owner, Some(UnitOwner::Moving { .. }))
            && owner != Some(&UnitOwner::Owned(upstream_name(upstream)))
        {
            break;
        }
    }
    world.restart_upstream(upstream);
    world.run_until(world.t + 3_000);
    world
}

fn violations(without: Option<Safeguard>, cut: Cut) -> Vec<Violation> {
    let scenes = (0..SEEDS).filter_map(|seed| scene(seed, without));
    let worlds = scenes.map(|scene| restart_after_move(scene, cut));
    worlds.filter_map(|world| world.checks.violation).collect()
}

#[test]
fn restarted_owner_stays_without_units() {
    for cut in [Cut::Alone, Cut::WithMajority] {
        assert_eq!(violations(None, cut), Vec::new(), "{cut:?}");
    }
}

#[test]
fn newer_right_is_needed() {
    let found = violations(Some(Safeguard::LeaseAfterRestart), Cut::Alone);
    assert!(!found.is_empty(), "no violation without the rule");
}

#[test]
fn adoption_before_revocation_is_needed() {
    let found = violations(Some(Safeguard::AdoptionBeforeRevoke), Cut::WithMajority);
    assert!(!found.is_empty(), "no violation without the rule");
}
