//! Guards against keys that stay without an owner for longer than the specified 3 s after a loss.

mod common;

use balsam_types::Incarnation;
use balsam_types::control::UnitOwner;
use balsam_types::timing::LEASE_EXPIRY_WAIT_MS;
use common::participants::{Host, service, upstream_name, zone};
use common::world::World;
use rstest::rstest;

/// The specified maximum time from the loss of an owner until its keys are served again, in
/// milliseconds.
const BOUND_MS: u64 = 3_000;

/// The time after which every grant from before a loss has expired, in milliseconds.
const GRANT_LAPSED_MS: u64 = LEASE_EXPIRY_WAIT_MS;

const SEEDS: u64 = 40;

/// What is lost together with the owner of a unit.
#[derive(Clone, Copy, Debug)]
enum With {
    Nothing,
    Dispatcher,
    Placer,
}

fn owner_of_first_unit(world: &World) -> usize {
    let owner = world
        .table
        .state
        .owner_of(&service(), balsam_types::UnitId(0));
    match owner {
        Some(UnitOwner::Owned(name)) => world.upstream_named(name).expect("the owner exists"),
        other => panic!("unit 0 has owner {other:?}"),
    }
}

fn daemon_of(world: &World, incarnation: Option<Incarnation>) -> usize {
    let incarnations = world
        .nodes
        .iter()
        .map(|process| Some(Incarnation(process.boot_id)));
    incarnations
        .into_iter()
        .position(|boot_id| boot_id == incarnation)
        .expect("the daemon runs")
}

fn dispatcher_of(world: &World, upstream: usize) -> usize {
    let info = &world.table.state.upstreams[&upstream_name(upstream)];
    daemon_of(world, info.dispatcher)
}

#[rstest]
fn lost_owner_is_replaced(
    #[values(With::Nothing, With::Dispatcher, With::Placer)] with: With,
    #[values(false, true)] frozen: bool,
) {
    let mut longest = 0;
    for seed in 0..SEEDS {
        let mut world = World::settled(seed);
        let lost = owner_of_first_unit(&world);
        match with {
            With::Nothing => {}
            With::Dispatcher => world.kill_node(dispatcher_of(&world, lost)),
            With::Placer => world.kill_node(daemon_of(&world, world.table.state.placer)),
        }
        if frozen {
            world.freeze_forever(lost);
        } else {
            world.isolate(&[Host::Upstream(lost)]);
        }
        // The measurement starts after the lost owner's grant has expired, because until then the
        // units still look served.
        longest = longest.max(time_after_loss(&mut world, seed));
    }
    println!("{with:?}, frozen {frozen}: longest {longest} ms");
}

/// Returns the time from a loss until all units are served again, which must be within the bound.
fn time_after_loss(world: &mut World, seed: u64) -> u64 {
    world.run_until(world.t + GRANT_LAPSED_MS);
    let Some(served) = world.time_to_serve(BOUND_MS - GRANT_LAPSED_MS) else {
        panic!(
            "seed {seed}: not served within {BOUND_MS} ms: {}",
            world.describe()
        );
    };
    served + GRANT_LAPSED_MS
}

/// A zone has two of the five daemons and one of the three upstreams.
#[test]
fn lost_zone_is_replaced() {
    let mut longest = 0;
    for seed in 0..SEEDS {
        let mut world = World::settled(seed);
        let lost = zone(1);
        for node in (0..world.nodes.len()).filter(|node| zone(*node) == lost) {
            world.kill_node(node);
        }
        for upstream in (0..world.upstreams.len()).filter(|upstream| zone(*upstream) == lost) {
            world.freeze_forever(upstream);
        }
        longest = longest.max(time_after_loss(&mut world, seed));
    }
    println!("zone: longest {longest} ms");
}

#[test]
fn lost_dispatcher_is_replaced() {
    for seed in 0..SEEDS {
        let mut world = World::settled(seed);
        let upstream = owner_of_first_unit(&world);
        world.kill_node(dispatcher_of(&world, upstream));
        world.run_until(world.t + GRANT_LAPSED_MS);
        let served = world.time_to_serve(BOUND_MS - GRANT_LAPSED_MS);
        assert!(served.is_some(), "seed {seed}: {}", world.describe());
    }
}
