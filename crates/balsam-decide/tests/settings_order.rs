//! Guards against accepted edits that are lost, merged or reported as in force too early.

mod common;

use balsam_decide::node::{CommandFailure, CommandResult, OperatorCommand, RequestId};
use balsam_decide::settings::SettingsError;
use balsam_types::Epoch;
use balsam_types::settings::{NodeEdit, NodePath, SettingKey, SettingValue};
use common::participants::{Host, service, zone};
use common::world::World;

const SEEDS: u64 = 30;

/// The specified maximum time until an accepted edit is in force everywhere, in milliseconds.
const IN_FORCE_MS: u64 = 6_000;

fn version_of(world: &World, path: &NodePath) -> Epoch {
    let node = world.table.state.settings.node(path);
    node.map_or(Epoch(0), |node| node.version)
}

fn edit(world: &mut World, daemon: usize, path: NodePath, value: u64, wait: bool) -> RequestId {
    let version = version_of(world, &path);
    let edit = match path {
        NodePath::Zone(_) => NodeEdit::new(path, version),
        _ => NodeEdit::new(path, version)
            .with_value(SettingKey::DeadlineMs, SettingValue::Number(value)),
    };
    let edits = vec![edit];
    world.command(daemon, OperatorCommand::Edit { edits, wait })
}

fn value_at(world: &World, daemon: usize) -> Option<SettingValue> {
    let view = world.nodes[daemon].view.as_ref()?;
    let path = NodePath::Service(service());
    Some(
        view.state
            .settings
            .resolve(&path, SettingKey::DeadlineMs)
            .value,
    )
}

/// Creates a world in which the random edits have stopped.
fn settled(seed: u64) -> World {
    let mut world = World::settled(seed);
    world.stop_edits();
    world.run_until(world.t + 500);
    world
}

#[test]
fn one_of_two_edits_of_a_node_conflicts() {
    for seed in 0..SEEDS {
        let mut world = settled(seed);
        let path = NodePath::Service(service());
        let first = edit(&mut world, 0, path.clone(), 111, false);
        let second = edit(&mut world, 1, path, 222, false);
        world.run_until(world.t + 1_000);
        let answers = [&world.answers[&first], &world.answers[&second]];
        let accepted = answers.map(|answer| matches!(answer, CommandResult::Accepted { .. }));
        assert_ne!(accepted[0], accepted[1], "seed {seed}: {answers:?}");
        let conflicts = answers.iter().any(|answer| {
            matches!(
                answer,
                CommandResult::Refused(CommandFailure::Settings {
                    source: SettingsError::Conflict { .. }
                })
            )
        });
        assert!(conflicts, "seed {seed}: {answers:?}");
    }
}

/// Guards against a daemon that refuses an edit as a conflict only because it has not yet read the
/// accepted edit on which this one is based.
#[test]
fn daemon_behind_reads_before_it_refuses() {
    for seed in 0..SEEDS {
        let mut world = settled(seed);
        let behind = world.nodes.len() - 1;
        let path = NodePath::Service(service());
        let first = edit(&mut world, 0, path.clone(), 111, false);
        let mut second = None;
        let until = world.t + IN_FORCE_MS;
        while world.t < until && second.is_none() {
            world.run_until(world.t + 1);
            if world.answers.contains_key(&first) {
                second = Some(edit(&mut world, behind, path.clone(), 222, false));
            }
        }
        let second = second.expect("the first edit is answered");
        world.run_until(world.t + 1_000);
        let answer = &world.answers[&second];
        let accepted = matches!(answer, CommandResult::Accepted { .. });
        assert!(accepted, "seed {seed}: {answer:?}");
    }
}

/// Guards against an edit based on a version that never existed delaying later commands.
#[test]
fn unknown_base_version_conflicts() {
    for seed in 0..SEEDS {
        let mut world = settled(seed);
        let path = NodePath::Service(service());
        let future = Epoch(world.table.epoch().0 + 1_000);
        let edits = vec![NodeEdit::new(path.clone(), future)];
        let refused = world.command(0, OperatorCommand::Edit { edits, wait: false });
        let accepted = edit(&mut world, 0, path, 333, false);
        world.run_until(world.t + 1_000);
        let answer = &world.answers[&refused];
        let conflict = matches!(
            answer,
            CommandResult::Refused(CommandFailure::Settings {
                source: SettingsError::Conflict { .. }
            })
        );
        assert!(conflict, "seed {seed}: {answer:?}");
        let answer = &world.answers[&accepted];
        assert!(
            matches!(answer, CommandResult::Accepted { .. }),
            "seed {seed}: {answer:?}"
        );
    }
}

#[test]
fn edits_of_different_nodes_are_both_kept() {
    for seed in 0..SEEDS {
        let mut world = settled(seed);
        let path = NodePath::Service(service());
        let first = edit(&mut world, 0, path, 111, false);
        let second = edit(&mut world, 1, NodePath::Zone(zone(0)), 0, false);
        world.run_until(world.t + 1_000);
        for request in [first, second] {
            let answer = &world.answers[&request];
            let accepted = matches!(answer, CommandResult::Accepted { .. });
            assert!(accepted, "seed {seed}: {answer:?}");
        }
        assert_eq!(value_at(&world, 2), Some(SettingValue::Number(111)));
    }
}

#[test]
fn lost_write_answers_do_not_repeat_or_lose_edits() {
    for seed in 0..SEEDS {
        let mut world = settled(seed);
        world.lose_write_answers = true;
        let mut epochs = Vec::new();
        for value in 1..=5 {
            let path = NodePath::Service(service());
            let request = edit(&mut world, 0, path, value, false);
            world.run_until(world.t + IN_FORCE_MS);
            let answer = &world.answers[&request];
            let CommandResult::Accepted { epoch, .. } = answer else {
                panic!("seed {seed}: {answer:?}");
            };
            epochs.push(*epoch);
            assert_eq!(value_at(&world, 1), Some(SettingValue::Number(value)));
        }
        epochs.dedup();
        assert_eq!(epochs.len(), 5, "seed {seed}");
    }
}

/// Guards against an edit that is lost, or reported as accepted, while its daemon reaches the table
/// but no other daemon. The edit is committed, but no majority adopts it until the partition ends.
#[test]
fn minority_with_the_table_answers_pending() {
    for seed in 0..SEEDS {
        let mut world = settled(seed);
        world.isolate(&[Host::Node(0), Host::Table]);
        world.run_until(world.t + 300);
        let path = NodePath::Service(service());
        let request = edit(&mut world, 0, path, 777, true);
        world.run_until(world.t + IN_FORCE_MS + 2_000);
        let answer = &world.answers[&request];
        let pending = matches!(answer, CommandResult::Pending { .. });
        assert!(pending, "seed {seed}: {answer:?}");
        world.isolate(&[]);
        world.run_until(world.t + IN_FORCE_MS);
        for daemon in 0..world.nodes.len() {
            let value = value_at(&world, daemon);
            assert_eq!(
                value,
                Some(SettingValue::Number(777)),
                "seed {seed} daemon {daemon}"
            );
        }
        assert_eq!(world.checks.violation, None, "seed {seed}");
    }
}

/// Guards against an edit that is reported as in force everywhere while a daemon may still use the
/// old value. The frozen daemon cannot adopt the edit, so the answer waits until its lease expires.
#[test]
fn waited_edit_is_in_force_at_its_answer() {
    for seed in 0..SEEDS {
        let mut world = settled(seed);
        let slow = world.nodes.len() - 1;
        world.nodes[slow].frozen = true;
        let path = NodePath::Service(service());
        let request = edit(&mut world, 0, path, 555, true);
        let until = world.t + IN_FORCE_MS;
        while !world.answers.contains_key(&request) && world.t < until {
            world.run_until(world.t + 5);
        }
        let answer = &world.answers[&request];
        let everywhere = matches!(
            answer,
            CommandResult::Accepted {
                everywhere: true,
                ..
            }
        );
        assert!(everywhere, "seed {seed}: {answer:?}");
        for daemon in &world.nodes {
            let now = daemon.clock.at(world.t);
            let view = daemon.view.as_ref().expect("the daemon has a view");
            let current = view.state.epoch >= version_of(&world, &NodePath::Service(service()));
            assert!(
                current || !view.has_lease(now),
                "seed {seed}: an old value is in use"
            );
        }
    }
}

#[test]
fn edits_are_refused_while_the_table_is_down() {
    for seed in 0..SEEDS {
        let mut world = settled(seed);
        world.table.down = true;
        // A read that the outage left unanswered times out after 1 s; until then an edit may still
        // be tried.
        world.run_until(world.t + 1_500);
        let before = world.table.epoch();
        let path = NodePath::Service(service());
        let request = edit(&mut world, 0, path, 333, false);
        world.run_until(world.t + IN_FORCE_MS);
        let refused = CommandResult::Refused(CommandFailure::TableUnavailable);
        assert_eq!(world.answers[&request], refused, "seed {seed}");
        assert!(
            world.all_served(),
            "seed {seed}: keys lost their owner during the outage"
        );
        world.table.down = false;
        world.run_until(world.t + 2_000);
        assert_eq!(
            world.table.epoch(),
            before,
            "seed {seed}: a refused edit took effect"
        );
    }
}

#[test]
fn service_with_upstreams_is_not_deleted() {
    let mut world = settled(0);
    let path = NodePath::Service(service());
    let mut edit = NodeEdit::new(path.clone(), version_of(&world, &path));
    edit.delete = true;
    let edits = vec![edit];
    let request = world.command(0, OperatorCommand::Edit { edits, wait: false });
    world.run_until(world.t + 1_000);
    let answer = &world.answers[&request];
    let expected = CommandResult::Refused(CommandFailure::Settings {
        source: SettingsError::HasChildren { path },
    });
    assert_eq!(*answer, expected);
    assert!(world.all_served());
}
