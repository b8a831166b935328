//! Guards against planned changes that interrupt requests or leave keys without an owner, and
//! against daemons that do not stop gracefully.

mod common;

use balsam_decide::grants::WorkRequest;
use balsam_types::control::{UnitOwner, UpstreamStatus};
use balsam_types::timing::{LEASE_EXPIRY_WAIT_MS, LEASE_TTL_MS};
use balsam_types::{KeyHash, UnitId};
use common::participants::{Work, service, upstream_name};
use common::world::{Event, World};

const SEEDS: u64 = 30;

/// The specified maximum time from the report that an upstream is leaving until it gets no new
/// work, in milliseconds.
const LEAVING_BOUND_MS: u64 = 5_000;

fn owner_of(world: &World, unit: UnitId) -> Option<usize> {
    match world.table.state.owner_of(&service(), unit) {
        Some(UnitOwner::Owned(name)) => world.upstream_named(name),
        _ => None,
    }
}

/// Starts a request on `unit` at `upstream` that takes `duration_ms`.
fn begin_work(world: &mut World, upstream: usize, unit: UnitId, duration_ms: u64) {
    let process = &mut world.upstreams[upstream];
    let now = process.clock.at(world.t);
    let key = KeyHash(unit.0);
    let request = WorkRequest {
        unit,
        key,
        epoch: world.table.state.epoch,
        deadline: now.after(60_000),
    };
    let id = process
        .holder
        .begin(now, request)
        .expect("the unit is owned");
    let began_ms = world.t;
    process.running.insert(0, Work { id, key, began_ms });
    let boot_id = process.boot_id;
    world.after(duration_ms, Event::WorkEnds(upstream, boot_id, 0));
}

#[test]
fn leaving_upstream_finishes_its_requests() {
    for seed in 0..SEEDS {
        let mut world = World::settled(seed);
        let unit = UnitId(0);
        let upstream = owner_of(&world, unit).expect("the unit is owned");
        begin_work(&mut world, upstream, unit, 3 * LEASE_TTL_MS);
        world.leave_upstream(upstream);
        world.run_until(world.t + 2 * LEASE_TTL_MS);
        let state = &world.table.state;
        let status = state.upstreams[&upstream_name(upstream)].status;
        assert_eq!(status, UpstreamStatus::Draining, "seed {seed}");
        assert_eq!(
            owner_of(&world, unit),
            None,
            "seed {seed}: moved while a request runs"
        );
        let ran_before = world.checks.ran_at(upstream, KeyHash(unit.0));
        world.run_until(world.t + LEAVING_BOUND_MS - 2 * LEASE_TTL_MS);
        let ran = world.checks.ran_at(upstream, KeyHash(unit.0));
        assert_eq!(
            ran,
            ran_before + 1,
            "seed {seed}: the request had no effect"
        );
        assert!(world.all_served(), "seed {seed}: {}", world.describe());
        assert_ne!(owner_of(&world, unit), Some(upstream), "seed {seed}");
        assert_eq!(world.checks.violation, None, "seed {seed}");
    }
}

#[test]
fn stopped_daemons_leave_and_keys_stay_served() {
    for seed in 0..SEEDS {
        let mut world = World::settled(seed);
        for node in 0..world.nodes.len() {
            world.stop_node(node);
            let stop_by = world.t + 8_000;
            while world.nodes[node].node.is_some() {
                assert!(
                    world.t < stop_by,
                    "seed {seed}: daemon {node} does not stop"
                );
                world.run_until(world.t + 10);
                assert!(world.all_served(), "seed {seed}: {}", world.describe());
            }
            let state = &world.table.state;
            let boot_id = balsam_types::Incarnation(world.nodes[node].boot_id);
            assert!(!state.daemons.contains_key(&boot_id), "seed {seed}");
            world.restart_node(node);
            world.run_until(world.t + 500);
        }
        world.run_until(world.t + 3_000);
        assert_eq!(world.unrecovered(), None, "seed {seed}");
    }
}

#[test]
fn all_daemons_restarted_at_once_recover() {
    for seed in 0..SEEDS {
        let mut world = World::settled(seed);
        for node in 0..world.nodes.len() {
            world.restart_node(node);
        }
        world.run_until(world.t + 6_000);
        assert_eq!(
            world.unrecovered(),
            None,
            "seed {seed}: {}",
            world.describe()
        );
    }
}

#[test]
fn planned_move_is_shorter_than_a_lapse_wait() {
    let mut longest = 0;
    for seed in 0..SEEDS {
        let mut world = World::settled(seed);
        let unit = UnitId(0);
        let upstream = owner_of(&world, unit).expect("the unit is owned");
        world.leave_upstream(upstream);
        let until = world.t + LEAVING_BOUND_MS;
        while owner_of(&world, unit) == Some(upstream) && world.t < until {
            world.run_until(world.t + 1);
        }
        let serving = world.time_to_serve(LEASE_EXPIRY_WAIT_MS);
        let Some(moving_ms) = serving else {
            panic!(
                "seed {seed}: waits for leases to expire: {}",
                world.describe()
            );
        };
        longest = longest.max(moving_ms);
    }
    println!("longest planned move: {longest} ms");
}
