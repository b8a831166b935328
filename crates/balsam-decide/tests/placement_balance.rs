//! Single plans: first owners, lost and draining upstreams, warm-up, balancing and hot keys.

use balsam_decide::control::ServicePlacement;
use balsam_decide::placement::{PlanInput, PlanStep, PlanUpstream, plan};
use balsam_decide::settings::{ServicePolicy, SettingsTree};
use balsam_types::control::{MoveReason, UnitOwner, UpstreamStatus};
use balsam_types::settings::{NodeEdit, NodePath};
use balsam_types::{Epoch, KeyHash, Map, ServiceName, TimeMs, UnitId, UpstreamName};
use rstest::rstest;

const NOW: TimeMs = TimeMs(1_000_000);

fn policy(slices: u64) -> ServicePolicy {
    let service = ServiceName::new("lookup").expect("name");
    let mut tree = SettingsTree::new();
    let edit = NodeEdit {
        path: NodePath::Service(service.clone()),
        base_version: Epoch(0),
        values: std::collections::BTreeMap::new(),
        delete: false,
    };
    tree.apply(Epoch(1), &[edit]).expect("edit");
    let policy = tree.service_policy(&service).expect("policy");
    ServicePolicy { slices, ..policy }
}

fn upstreams(count: usize) -> Vec<PlanUpstream> {
    let upstream = |at: usize| PlanUpstream {
        name: UpstreamName::new(format!("up-{at:03}")).expect("name"),
        status: UpstreamStatus::Active,
        slots: 3,
        load: 0.0,
        active_since: TimeMs(0),
        heavy_keys: Vec::new(),
    };
    (0..count).map(upstream).collect()
}

fn run_planner(
    policy: &ServicePolicy,
    upstreams: &[PlanUpstream],
    placement: &ServicePlacement,
    unit_loads: &Map<UnitId, f64>,
) -> Vec<PlanStep> {
    plan(&PlanInput {
        now: NOW,
        policy,
        upstreams,
        placement,
        unit_loads,
        recent_moves: 0,
    })
}

/// Applies steps as if every move completed at once.
fn apply(placement: &mut ServicePlacement, steps: &[PlanStep]) {
    for step in steps {
        match step {
            PlanStep::Assign { unit, to } => {
                let previous = placement.units.insert(*unit, UnitOwner::Owned(to.clone()));
                assert_eq!(previous, None, "a unit with an owner was assigned");
            }
            PlanStep::Move(unit_move) => {
                let next = UnitOwner::Owned(unit_move.to.clone());
                let previous = placement.units.insert(unit_move.unit, next);
                assert_eq!(previous, Some(UnitOwner::Owned(unit_move.from.clone())));
            }
            PlanStep::Split { key, to } => {
                assert!(placement.hot_keys.insert(*key));
                let unit = UnitId::hot_key(*key);
                placement.units.insert(unit, UnitOwner::Owned(to.clone()));
            }
            PlanStep::Merge { key } => {
                assert!(placement.hot_keys.remove(key));
                placement.units.remove(&UnitId::hot_key(*key));
            }
        }
    }
}

fn counts(placement: &ServicePlacement, upstreams: &[PlanUpstream]) -> Vec<usize> {
    let owned = |upstream: &PlanUpstream| {
        let owner = UnitOwner::Owned(upstream.name.clone());
        placement
            .units
            .values()
            .filter(|unit| **unit == owner)
            .count()
    };
    upstreams.iter().map(owned).collect()
}

fn assigned(policy: &ServicePolicy, upstreams: &[PlanUpstream]) -> ServicePlacement {
    let mut placement = ServicePlacement::default();
    let steps = run_planner(policy, upstreams, &placement, &Map::default());
    apply(&mut placement, &steps);
    placement
}

/// Guards against a first assignment that leaves slices without an owner or favours some upstreams.
#[rstest]
#[case(1, 1)]
#[case(4_096, 20)]
#[case(64_000, 100)]
fn first_owners_are_even(#[case] slices: u64, #[case] count: usize) {
    let policy = policy(slices);
    let upstreams = upstreams(count);
    let placement = assigned(&policy, &upstreams);
    assert_eq!(placement.units.len() as u64, slices);
    let counts = counts(&placement, &upstreams);
    let spread = counts.iter().max().expect("max") - counts.iter().min().expect("min");
    assert!(spread <= 1, "units per upstream: {counts:?}");
    let second_plan = run_planner(&policy, &upstreams, &placement, &Map::default());
    assert_eq!(
        second_plan,
        Vec::new(),
        "a balanced placement must not change"
    );
}

/// Guards against a first assignment in proportion to the number of upstreams and not to their
/// slots.
#[test]
fn first_owners_follow_slots() {
    let mut upstreams = upstreams(3);
    upstreams[2].slots = 6;
    let placement = assigned(&policy(4_000), &upstreams);
    assert_eq!(counts(&placement, &upstreams), [1_000, 1_000, 2_000]);
}

/// Guards against units that stay at a lost or draining upstream, against moves of other units, and
/// against an uneven distribution over the remaining upstreams.
#[rstest]
#[case(UpstreamStatus::Lost, MoveReason::OwnerLost)]
#[case(UpstreamStatus::Draining, MoveReason::OwnerDraining)]
fn units_leave_unavailable_upstreams(#[case] status: UpstreamStatus, #[case] reason: MoveReason) {
    let policy = policy(4_096);
    let mut upstreams = upstreams(20);
    let mut placement = assigned(&policy, &upstreams);
    let before = counts(&placement, &upstreams)[7];
    upstreams[7].status = status;
    let steps = run_planner(&policy, &upstreams, &placement, &Map::default());
    assert_eq!(steps.len(), before);
    for step in &steps {
        let PlanStep::Move(unit_move) = step else {
            panic!("unexpected step {step:?}");
        };
        assert_eq!(unit_move.from, upstreams[7].name);
        assert_eq!(unit_move.reason, reason);
    }
    apply(&mut placement, &steps);
    let counts = counts(&placement, &upstreams);
    assert_eq!(counts[7], 0);
    let kept: Vec<usize> = counts.into_iter().filter(|count| *count > 0).collect();
    let spread = kept.iter().max().expect("max") - kept.iter().min().expect("min");
    assert!(spread <= 2, "units per remaining upstream: {kept:?}");
}

/// Guards against steps that have no possible target because no upstream is active.
#[test]
fn no_target_means_no_steps() {
    let policy = policy(64);
    let mut upstreams = upstreams(2);
    let placement = assigned(&policy, &upstreams);
    for upstream in &mut upstreams {
        upstream.status = UpstreamStatus::Lost;
    }
    let steps = run_planner(&policy, &upstreams, &placement, &Map::default());
    assert_eq!(steps, Vec::new());
}

/// Guards against steps for a unit whose previous move has not completed.
#[test]
fn moving_units_are_left_alone() {
    let policy = policy(64);
    let mut upstreams = upstreams(4);
    let mut placement = assigned(&policy, &upstreams);
    for (unit, owner) in &mut placement.units {
        if unit.0 % 2 == 0 {
            *owner = UnitOwner::Moving {
                from: upstreams[0].name.clone(),
                to: upstreams[1].name.clone(),
                since_epoch: Epoch(3),
            };
        }
    }
    upstreams[0].status = UpstreamStatus::Lost;
    upstreams[1].status = UpstreamStatus::Lost;
    for step in run_planner(&policy, &upstreams, &placement, &Map::default()) {
        let PlanStep::Move(unit_move) = step else {
            panic!("unexpected step {step:?}");
        };
        assert_eq!(
            unit_move.unit.0 % 2,
            1,
            "moving unit {} planned",
            unit_move.unit
        );
    }
}

/// Guards against a returned upstream that gets its full share at once and not gradually during
/// its warm-up, or that never gets its share.
#[test]
fn returned_upstream_fills_gradually() {
    let policy = policy(1_000);
    let mut upstreams = upstreams(10);
    let mut placement = assigned(&policy, &upstreams[..9]);
    let mut owned = Vec::new();
    for age_ms in [0, 2_500, 5_000, 7_500, 10_000] {
        upstreams[9].active_since = TimeMs(NOW.0 - age_ms);
        let steps = run_planner(&policy, &upstreams, &placement, &Map::default());
        apply(&mut placement, &steps);
        owned.push(counts(&placement, &upstreams)[9]);
    }
    let limits = [20, 35, 60, 85, 105];
    for (count, limit) in owned.iter().zip(limits) {
        assert!(*count <= limit, "owned {owned:?}, limits {limits:?}");
    }
    assert!(owned[4] >= 90, "owned {owned:?}");
}

/// Guards against balancing moves beyond the limit per minute, and against a second round of moves
/// before the measured load shows the effect of the first one.
#[rstest]
#[case(0, 64)]
#[case(1, 0)]
#[case(100, 0)]
fn balance_respects_limit_per_minute(#[case] recent_moves: u64, #[case] allowed: usize) {
    let policy = policy(1_000);
    let upstreams = upstreams(10);
    let placement = assigned(&policy, &upstreams[..9]);
    let input = PlanInput {
        now: NOW,
        policy: &policy,
        upstreams: &upstreams,
        placement: &placement,
        unit_loads: &Map::default(),
        recent_moves,
    };
    assert_eq!(plan(&input).len(), allowed);
}

/// Guards against hot keys that stay with their slice, and against splits that bring no gain
/// because every other upstream would be as loaded.
#[test]
fn hot_key_splits_and_merges() {
    let policy = policy(256);
    let mut upstreams = upstreams(4);
    let mut placement = assigned(&policy, &upstreams);
    let key = KeyHash::of("hot");
    let slice = UnitId::slice_of(key, policy.slices);
    let Some(UnitOwner::Owned(slice_owner)) = placement.units.get(&slice).cloned() else {
        panic!("slice without owner");
    };
    let at = upstreams
        .iter()
        .position(|one| one.name == slice_owner)
        .expect("home");
    for upstream in &mut upstreams {
        upstream.load = 600.0;
    }
    upstreams[at].load = 2_000.0;
    upstreams[at].heavy_keys = vec![(key, 1_300.0)];
    let loads = Map::from_iter([(slice, 1_302.0)]);
    let steps = run_planner(&policy, &upstreams, &placement, &loads);
    let split = steps
        .iter()
        .find(|step| matches!(step, PlanStep::Split { .. }));
    assert!(
        split.is_none(),
        "a key that loads any upstream alike was split: {steps:?}"
    );

    upstreams[at].heavy_keys = vec![(key, 700.0)];
    // The other units of this upstream are also heavier than those of other upstreams.
    let owner = UnitOwner::Owned(slice_owner.clone());
    let others = placement.units.iter().filter(|(_, of)| **of == owner);
    let mut loads: Map<UnitId, f64> = others.map(|(unit, _)| (*unit, 20.0)).collect();
    loads.insert(slice, 702.0);
    let steps = run_planner(&policy, &upstreams, &placement, &loads);
    let split = |step: &&PlanStep| matches!(step, PlanStep::Split { key: of, to } if *of == key && *to != slice_owner);
    assert_eq!(steps.iter().filter(split).count(), 1, "{steps:?}");
    apply(&mut placement, &steps);
    upstreams[at].heavy_keys.clear();

    let unit = UnitId::hot_key(key);
    let steps = |load: f64, placement: &ServicePlacement, upstreams: &mut [PlanUpstream]| {
        for upstream in upstreams.iter_mut() {
            upstream.load = 1_000.0;
        }
        run_planner(
            &policy,
            upstreams,
            placement,
            &Map::from_iter([(unit, load)]),
        )
    };
    let concerns_key = |step: &PlanStep| match step {
        PlanStep::Move(unit_move) => unit_move.unit == unit,
        PlanStep::Merge { .. } => true,
        PlanStep::Assign { .. } | PlanStep::Split { .. } => false,
    };
    // Between the thresholds for merging and splitting the key stays with its owner.
    let kept = steps(150.0, &placement, &mut upstreams);
    assert!(!kept.iter().any(concerns_key), "{kept:?}");
    let moved_to_owner = steps(50.0, &placement, &mut upstreams);
    assert!(
        moved_to_owner.iter().any(concerns_key),
        "{moved_to_owner:?}"
    );
    assert!(!moved_to_owner.contains(&PlanStep::Merge { key }));
    apply(&mut placement, &moved_to_owner);
    let merged = steps(50.0, &placement, &mut upstreams);
    assert!(merged.contains(&PlanStep::Merge { key }), "{merged:?}");
}
