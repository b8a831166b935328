//! Properties that every plan must have, checked on generated placements.

use balsam_decide::control::ServicePlacement;
use balsam_decide::placement::{PlanInput, PlanStep, PlanUpstream, plan};
use balsam_decide::settings::ServicePolicy;
use balsam_types::control::{MoveReason, UnitOwner, UpstreamStatus};
use balsam_types::{Epoch, KeyHash, Map, RankName, TimeMs, UnitId, UpstreamName};
use proptest::prelude::*;
use std::collections::BTreeSet;

const SLOTS: u32 = 3;

fn policy(slices: u64) -> ServicePolicy {
    ServicePolicy {
        slices,
        default_rank: RankName::new("lookup").expect("rank name"),
        connections: 120,
        quarantine_crashes: 3,
        quarantine_ttl_ms: 600_000,
        move_margin_percent: 10,
        moves_per_minute: 64,
        hot_key_percent: 20,
        warmup_ms: 10_000,
    }
}

fn name(at: usize) -> UpstreamName {
    UpstreamName::new(format!("up-{at:03}")).expect("upstream name")
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against steps that the control state rejects: for a moving unit, twice for one unit,
    /// to an unavailable upstream or from one that is not the owner. Guards also against plans that
    /// differ between placers with the same input.
    #[test]
    fn steps_always_apply(
        owners in prop::collection::vec((0..8_usize, 0..4_usize, 0..6_usize), 1..200),
        statuses in prop::collection::vec(0..3_u8, 8),
        loads in prop::collection::vec(0.0..3_000.0_f64, 8),
        heavy in prop::collection::vec((any::<u64>(), 0.0..2_000.0_f64), 0..20),
        hot in prop::collection::vec((any::<u64>(), 0..8_usize, 0.0..500.0_f64), 0..10),
        recent_moves in 0..100_u64,
    ) {
        let policy = policy(owners.len() as u64);
        let mut placement = ServicePlacement::default();
        let mut unit_loads = Map::default();
        for (slice, (owner, kind, other)) in (0..).map(UnitId).zip(&owners) {
            match kind {
                0 => {}
                1 => {
                    let (from, to, since_epoch) = (name(*owner), name(*other), Epoch(1));
                    placement.units.insert(slice, UnitOwner::Moving { from, to, since_epoch });
                }
                _ => {
                    placement.units.insert(slice, UnitOwner::Owned(name(*owner)));
                }
            }
        }
        for (key, owner, load) in &hot {
            let unit = UnitId::hot_key(KeyHash(*key));
            placement.hot_keys.insert(KeyHash(*key));
            placement.units.insert(unit, UnitOwner::Owned(name(*owner)));
            unit_loads.insert(unit, *load);
        }
        let status = |kind: u8| match kind {
            0 => UpstreamStatus::Lost,
            1 => UpstreamStatus::Draining,
            _ => UpstreamStatus::Active,
        };
        let upstreams: Vec<PlanUpstream> = (0..8)
            .map(|at| PlanUpstream {
                name: name(at),
                status: status(statuses[at]),
                slots: SLOTS,
                load: loads[at],
                active_since: TimeMs(0),
                heavy_keys: heavy.iter().map(|(key, load)| (KeyHash(*key), *load)).collect(),
            })
            .collect();
        let input = PlanInput {
            now: TimeMs(1_000_000),
            policy: &policy,
            upstreams: &upstreams,
            placement: &placement,
            unit_loads: &unit_loads,
            recent_moves,
        };
        let steps = plan(&input);
        prop_assert_eq!(&steps, &plan(&input));
        let is_active = |name: &UpstreamName| {
            upstreams.iter().any(|one| one.name == *name && one.status == UpstreamStatus::Active)
        };
        let mut planned = BTreeSet::new();
        let mut limited = 0;
        for step in &steps {
            let unit = match step {
                PlanStep::Assign { unit, to } => {
                    prop_assert!(is_active(to));
                    prop_assert!(!placement.units.contains_key(unit));
                    *unit
                }
                PlanStep::Move(unit_move) => {
                    prop_assert!(is_active(&unit_move.to) && unit_move.from != unit_move.to);
                    let owner = placement.units.get(&unit_move.unit);
                    prop_assert_eq!(owner, Some(&UnitOwner::Owned(unit_move.from.clone())));
                    let exempt = matches!(
                        unit_move.reason,
                        MoveReason::OwnerLost | MoveReason::OwnerDraining
                    );
                    limited += u64::from(!exempt);
                    unit_move.unit
                }
                PlanStep::Split { key, to } => {
                    prop_assert!(is_active(to) && !placement.hot_keys.contains(key));
                    let slice = UnitId::slice_of(*key, policy.slices);
                    prop_assert!(matches!(placement.units.get(&slice), Some(UnitOwner::Owned(_))));
                    limited += 1;
                    UnitId::hot_key(*key)
                }
                PlanStep::Merge { key } => {
                    let slice = UnitId::slice_of(*key, policy.slices);
                    let unit = UnitId::hot_key(*key);
                    prop_assert_eq!(placement.units.get(&slice), placement.units.get(&unit));
                    prop_assert!(!planned.contains(&slice), "the slice of a merged key moves");
                    unit
                }
            };
            prop_assert!(planned.insert(unit), "unit {} is planned twice", unit);
        }
        prop_assert!(limited <= policy.moves_per_minute.saturating_sub(recent_moves));
        if upstreams.iter().any(|one| one.status == UpstreamStatus::Active) {
            let slices = (0..policy.slices).map(UnitId);
            let served = |unit: &UnitId| planned.contains(unit) || placement.units.contains_key(unit);
            prop_assert!(slices.into_iter().all(|unit| served(&unit)), "slices without owner");
        }
    }
}
