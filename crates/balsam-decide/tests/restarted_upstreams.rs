//! Guards against an upstream that loses its fence epoch in a restart and is granted its former
//! units again.

mod common;

use balsam_decide::lease::Safeguard;
use balsam_types::control::UnitOwner;
use balsam_types::{Incarnation, UnitId};
use common::check::Violation;
use common::participants::{Host, service, upstream_name};
use common::world::World;

const SEEDS: u64 = 30;

/// What the dispatcher of the restarted upstream is cut off from.
#[derive(Clone, Copy, Debug)]
enum Cut {
    /// From all other daemons and the table; it still holds a lease when the units move.
    Alone,
    /// Together with all daemons except the placer, from the table and the placer; it renews its
    /// lease with the others.
    WithMajority,
}

struct Scenario {
    upstream: usize,
    dispatcher: usize,
    placer: usize,
    world: World,
}

fn daemon_of(world: &World, incarnation: Option<Incarnation>) -> usize {
    let mut processes = world.nodes.iter();
    let found = processes.position(|process| Some(Incarnation(process.boot_id)) == incarnation);
    found.expect("the daemon runs")
}

/// Creates a world in which the owner of unit 0 has a dispatcher that is not the placer.
fn scenario(seed: u64, without: Option<Safeguard>) -> Option<Scenario> {
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
    (dispatcher != placer).then_some(Scenario {
        upstream,
        dispatcher,
        placer,
        world,
    })
}

/// Lets the units of an upstream move after it has acknowledged the revocation, and then restarts
/// it at once.
fn restart_after_move(scenario: Scenario, cut: Cut) -> World {
    let Scenario {
        mut world,
        upstream,
        dispatcher,
        placer,
    } = scenario;
    let nodes: Vec<usize> = (0..world.nodes.len()).collect();
    let (one_side, other_side): (Vec<usize>, Vec<usize>) =
        nodes.iter().partition(|node| match cut {
            Cut::Alone => **node == dispatcher,
            Cut::WithMajority => **node != placer,
        });
    for node in &one_side {
        world.cut_links.insert((Host::Node(*node), Host::Table));
        for other in &other_side {
            world
                .cut_links
                .insert((Host::Node(*node), Host::Node(*other)));
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
    let scenarios = (0..SEEDS).filter_map(|seed| scenario(seed, without));
    let worlds = scenarios.map(|scenario| restart_after_move(scenario, cut));
    worlds.filter_map(|world| world.checks.violation).collect()
}

#[test]
fn restarted_owner_stays_without_units() {
    for cut in [Cut::Alone, Cut::WithMajority] {
        assert_eq!(violations(None, cut), Vec::new(), "{cut:?}");
    }
}

#[test]
fn newer_lease_is_needed() {
    let found = violations(Some(Safeguard::LeaseAfterRestart), Cut::Alone);
    assert!(!found.is_empty(), "no violation with the rule disabled");
}

#[test]
fn adoption_before_revocation_is_needed() {
    let found = violations(Some(Safeguard::AdoptionBeforeRevoke), Cut::WithMajority);
    assert!(!found.is_empty(), "no violation with the rule disabled");
}
