//! Guards against changing the owner or the dispatcher too early at upstreams that do not check
//! grants.

mod common;

use balsam_types::control::{Change, LogEntry, UpstreamStatus};
use balsam_types::timing::LEASE_TTL_MS;
use balsam_types::{Epoch, Incarnation};
use common::participants::upstream_name;
use common::world::{Event, Options, World};
use rstest::rstest;

const SEEDS: u64 = 30;

/// The shortest time after which an old lease can have expired; clocks may run 1 % fast.
const MIN_WAIT_MS: u64 = LEASE_TTL_MS;

fn settled(seed: u64) -> World {
    let mut world = World::new(Options {
        seed,
        profile: common::faults::Profile::Quiet,
        without: None,
        holder_without: None,
    });
    world.checks_grants = false;
    world.after(200, Event::Edit);
    world.run_until(5_000);
    world.stop_edits();
    assert_eq!(world.unrecovered(), None, "seed {seed}");
    world
}

/// Runs until a log entry after epoch `from` matches `wanted`, and returns its epoch and the time.
fn wait_for(
    world: &mut World,
    from: Epoch,
    wanted: impl Fn(&LogEntry) -> bool,
) -> Option<(Epoch, u64)> {
    let until = world.t + 8_000;
    while world.t < until {
        world.run_until(world.t + 5);
        let mut later = world.table.entries.iter().skip(from.0 as usize);
        if let Some(entry) = later.find(|entry| wanted(entry)) {
            return Some((entry.epoch, world.t));
        }
    }
    None
}

fn assigns(entry: &LogEntry, name: &str, wanted: impl Fn(Option<Incarnation>) -> bool) -> bool {
    match &entry.change {
        Change::DispatchersAssigned { pairs } => {
            let mut pairs = pairs.iter();
            pairs.any(|(upstream, to)| upstream.as_str() == name && wanted(*to))
        }
        _ => false,
    }
}

#[rstest]
fn next_dispatcher_waits_for_old_lease(#[values(false, true)] stops_gracefully: bool) {
    for seed in 0..SEEDS {
        let mut world = settled(seed);
        let info = world.table.state.upstreams[&upstream_name(0)].clone();
        let previous = info.dispatcher.expect("a dispatcher is assigned");
        let is_previous = |boot_id: u64| Incarnation(boot_id) == previous;
        let node = world
            .nodes
            .iter()
            .position(|process| is_previous(process.boot_id));
        let node = node.expect("the dispatcher runs");
        let from = world.table.epoch();
        if stops_gracefully {
            world.stop_node(node);
        } else {
            world.kill_node(node);
        }
        let cleared = wait_for(&mut world, from, |entry| {
            assigns(entry, info.name.as_str(), |to| to.is_none())
        });
        let (cleared, cleared_at) = cleared.unwrap_or_else(|| panic!("seed {seed}: not cleared"));
        let assigned = wait_for(&mut world, cleared, |entry| {
            assigns(entry, info.name.as_str(), |to| to.is_some())
        });
        let (_, assigned_at) = assigned.unwrap_or_else(|| panic!("seed {seed}: not assigned"));
        let waited_ms = assigned_at - cleared_at;
        assert!(
            waited_ms >= MIN_WAIT_MS,
            "seed {seed}: waited {waited_ms} ms"
        );
    }
}

#[test]
fn planned_move_waits_for_old_leases() {
    let mut moves = 0;
    for seed in 0..SEEDS {
        let mut world = settled(seed);
        let from = world.table.epoch();
        world.leave_upstream(0);
        let moving = wait_for(&mut world, from, |entry| {
            matches!(entry.change, Change::UnitsMoving { .. })
        });
        let Some((moving, moving_at)) = moving else {
            // The upstream owned no unit.
            continue;
        };
        moves += 1;
        let status = world.table.state.upstreams[&upstream_name(0)].status;
        assert_eq!(status, UpstreamStatus::Draining, "seed {seed}");
        let owned = wait_for(&mut world, moving, |entry| {
            matches!(entry.change, Change::UnitsOwned { .. })
        });
        let (_, owned_at) = owned.unwrap_or_else(|| panic!("seed {seed}: the move did not end"));
        let waited_ms = owned_at - moving_at;
        assert!(
            waited_ms >= MIN_WAIT_MS,
            "seed {seed}: waited {waited_ms} ms"
        );
    }
    assert!(moves > SEEDS / 2, "only {moves} moves in {SEEDS} schedules");
}
