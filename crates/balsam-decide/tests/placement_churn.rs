//! The number of moves over time under skewed, noisy and changing load, and the balance they reach.

use balsam_decide::control::ServicePlacement;
use balsam_decide::placement::{PlanInput, PlanStep, PlanUpstream, plan};
use balsam_decide::settings::ServicePolicy;
use balsam_types::control::{MoveReason, UnitOwner, UpstreamStatus};
use balsam_types::{KeyHash, Map, RankName, TimeMs, UnitId, UpstreamName};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::collections::BTreeMap;

const SLOTS: u32 = 3;
const SLOT_MS: f64 = 1_000.0;
const TICK_MS: u64 = 1_000;

/// The share of a change in load that the dispatchers' measurements show after one tick of 1 s.
///
/// It follows from the half-life of the measurements, which is 5 s.
const DELAYED_SHARE: f64 = 0.129_449;

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

/// A simulated service in which every move completes within one tick.
struct Service {
    policy: ServicePolicy,
    placement: ServicePlacement,
    index: BTreeMap<UpstreamName, usize>,
    statuses: Vec<UpstreamStatus>,
    active_since: Vec<TimeMs>,
    /// The load of each heavy key.
    keys: BTreeMap<KeyHash, f64>,
    /// The load of each slice without its heavy keys.
    slices: Vec<f64>,
    /// All moves and splits so far, with their time.
    moves: Vec<(u64, MoveReason)>,
    /// The number of splits and moves of hot keys so far.
    hot_moves: usize,
    /// The share of a change in load that the measurements show after one tick.
    measured_share: f64,
    /// The measured load of each unit at each upstream.
    measured: BTreeMap<(usize, UnitId), f64>,
    /// The measured load of each heavy key at each upstream.
    measured_keys: BTreeMap<(usize, KeyHash), f64>,
    now: u64,
}

impl Service {
    fn new(slices: u64, upstreams: usize) -> Self {
        let mut service = Self {
            policy: policy(slices),
            placement: ServicePlacement::default(),
            index: (0..upstreams).map(|at| (name(at), at)).collect(),
            statuses: vec![UpstreamStatus::Active; upstreams],
            active_since: vec![TimeMs(0); upstreams],
            keys: BTreeMap::new(),
            slices: vec![0.0; slices as usize],
            moves: Vec::new(),
            hot_moves: 0,
            measured_share: 1.0,
            measured: BTreeMap::new(),
            measured_keys: BTreeMap::new(),
            now: 1_000_000,
        };
        service.tick(1.0, None);
        service
    }

    /// Sets a total load in slots, distributed over the slices in proportion to `share`.
    fn set_load(&mut self, slots: f64, share: impl Fn(u64) -> f64) {
        let shares: Vec<f64> = (0..self.policy.slices).map(share).collect();
        let total: f64 = shares.iter().sum();
        self.slices = shares
            .iter()
            .map(|share| share / total * slots * SLOT_MS)
            .collect();
    }

    fn unit_loads(&self) -> BTreeMap<UnitId, f64> {
        let slices = (0..).map(UnitId).zip(self.slices.iter().copied());
        let mut loads: BTreeMap<UnitId, f64> = slices.collect();
        for (key, load) in &self.keys {
            let unit = self.placement.unit_of(*key, self.policy.slices);
            *loads.entry(unit).or_default() += load;
        }
        loads
    }

    /// Returns the load of each upstream.
    fn loads(&self, unit_loads: &BTreeMap<UnitId, f64>) -> Vec<f64> {
        let mut loads = vec![0.0; self.statuses.len()];
        for (unit, owner) in &self.placement.units {
            let UnitOwner::Owned(owner) = owner else {
                panic!("unit {unit} moves between ticks");
            };
            loads[self.index[owner]] += unit_loads.get(unit).copied().unwrap_or(0.0);
        }
        loads
    }

    /// Returns the ratio of the greatest load of an active upstream to the mean.
    fn imbalance(&self) -> f64 {
        let loads = self.loads(&self.unit_loads());
        let active = (0..loads.len()).filter(|at| self.statuses[*at] == UpstreamStatus::Active);
        let active: Vec<f64> = active.map(|at| loads[at]).collect();
        let mean = active.iter().sum::<f64>() / active.len() as f64;
        active.iter().copied().fold(0.0, f64::max) / mean
    }

    /// Returns the measured heavy keys of an upstream.
    fn heavy_keys(&self, at: usize) -> Vec<(KeyHash, f64)> {
        let here = self.measured_keys.iter().filter(|((of, _), _)| *of == at);
        here.map(|((_, key), load)| (*key, *load)).collect()
    }

    /// Updates the measured load, which follows changes with a delay as the decaying counts of the
    /// dispatchers do.
    fn measure(&mut self) {
        let unit_loads = self.unit_loads();
        let keys = self.measured_keys.values_mut();
        for load in self.measured.values_mut().chain(keys) {
            *load *= 1.0 - self.measured_share;
        }
        for (unit, owner) in &self.placement.units {
            let UnitOwner::Owned(owner) = owner else {
                panic!("unit {unit} moves between ticks");
            };
            let load = unit_loads.get(unit).copied().unwrap_or(0.0);
            let at = self.index[owner];
            *self.measured.entry((at, *unit)).or_default() += load * self.measured_share;
        }
        for (key, load) in &self.keys {
            let unit = self.placement.unit_of(*key, self.policy.slices);
            if let Some(UnitOwner::Owned(owner)) = self.placement.units.get(&unit) {
                let at = self.index[owner];
                *self.measured_keys.entry((at, *key)).or_default() += load * self.measured_share;
            }
        }
        self.measured.retain(|_, load| *load > 1e-6);
        self.measured_keys.retain(|_, load| *load > 1e-6);
    }

    /// Plans once and applies the steps; every measured load is too high by up to a factor of
    /// `noise`.
    fn tick(&mut self, noise: f64, random: Option<&mut StdRng>) {
        self.measure();
        let mut fallback = StdRng::seed_from_u64(0);
        let random = random.unwrap_or(&mut fallback);
        let mut with_noise = |load: f64| load * random.random_range(1.0..=noise.max(1.0));
        let mut upstreams = Vec::new();
        let mut unit_loads: Map<UnitId, f64> = Map::default();
        for at in 0..self.statuses.len() {
            let of_upstream = self.measured.range((at, UnitId(0))..(at + 1, UnitId(0)));
            let mut units: Vec<(UnitId, f64)> = of_upstream
                .map(|((_, unit), load)| (*unit, *load))
                .collect();
            let load: f64 = units.iter().map(|(_, load)| load).sum();
            units.sort_by(|a, b| b.1.total_cmp(&a.1));
            units.truncate(64);
            for (unit, load) in units {
                *unit_loads.entry(unit).or_default() += with_noise(load);
            }
            upstreams.push(PlanUpstream {
                name: name(at),
                status: self.statuses[at],
                slots: SLOTS,
                load: with_noise(load),
                active_since: self.active_since[at],
                heavy_keys: self.heavy_keys(at),
            });
        }
        let minute_ago = self.now.saturating_sub(60_000);
        let recent = |(at, reason): &&(u64, MoveReason)| {
            *at > minute_ago && matches!(reason, MoveReason::Balance | MoveReason::HotKey)
        };
        let steps = plan(&PlanInput {
            now: TimeMs(self.now),
            policy: &self.policy,
            upstreams: &upstreams,
            placement: &self.placement,
            unit_loads: &unit_loads,
            recent_moves: self.moves.iter().filter(recent).count() as u64,
        });
        for step in steps {
            self.apply(step);
        }
        self.now += TICK_MS;
    }

    fn apply(&mut self, step: PlanStep) {
        let units = &mut self.placement.units;
        match step {
            PlanStep::Assign { unit, to } => {
                units.insert(unit, UnitOwner::Owned(to));
            }
            PlanStep::Move(unit_move) => {
                self.moves.push((self.now, unit_move.reason));
                self.hot_moves += usize::from(unit_move.unit.is_hot_key());
                units.insert(unit_move.unit, UnitOwner::Owned(unit_move.to));
            }
            PlanStep::Split { key, to } => {
                self.moves.push((self.now, MoveReason::HotKey));
                self.hot_moves += 1;
                self.placement.hot_keys.insert(key);
                units.insert(UnitId::hot_key(key), UnitOwner::Owned(to));
            }
            PlanStep::Merge { key } => {
                let slice = UnitId::slice_of(key, self.policy.slices);
                assert_eq!(units.get(&UnitId::hot_key(key)), units.get(&slice));
                self.placement.hot_keys.remove(&key);
                units.remove(&UnitId::hot_key(key));
            }
        }
    }
}

/// Guards against skewed load that is never balanced, and against balancing that goes on moving
/// units under a steady load.
#[rstest]
fn skewed_load_is_evened_out(#[values(1, 2, 3)] seed: u64) {
    let mut service = Service::new(1_024, 20);
    let mut random = StdRng::seed_from_u64(seed);
    let shares: Vec<f64> = (0..1_024).map(|_| random.random::<f64>().powi(4)).collect();
    service.set_load(30.0, |slice| shares[slice as usize]);
    for _ in 0..300 {
        service.tick(1.0, None);
    }
    let margin = 1.0 + service.policy.move_margin_percent as f64 / 100.0;
    let imbalance = service.imbalance();
    assert!(imbalance <= margin, "imbalance {imbalance}");
    let before = service.moves.len();
    for _ in 0..60 {
        service.tick(1.0, None);
    }
    assert_eq!(service.moves.len(), before, "moves under a steady load");
}

/// Guards against moves that are caused only by noise in the measured load.
#[rstest]
fn noise_moves_few_units(#[values(1, 2, 3)] seed: u64) {
    let mut service = Service::new(1_024, 20);
    service.set_load(30.0, |_| 1.0);
    let mut random = StdRng::seed_from_u64(seed);
    for _ in 0..600 {
        // Noise of 5 % is below the margin of 10 %.
        service.tick(1.05, Some(&mut random));
    }
    assert_eq!(service.moves.len(), 0);
}

/// Guards against moves of units whose owner was not lost, and against a loss that leaves the
/// remaining upstreams unbalanced.
#[test]
fn loss_moves_only_lost_units() {
    let mut service = Service::new(4_096, 20);
    service.set_load(30.0, |_| 1.0);
    service.tick(1.0, None);
    let lost_units = service.placement.units.values();
    let lost_units = lost_units
        .filter(|owner| **owner == UnitOwner::Owned(name(3)))
        .count();
    service.statuses[3] = UpstreamStatus::Lost;
    service.tick(1.0, None);
    assert_eq!(service.moves.len(), lost_units);
    assert!(
        service
            .moves
            .iter()
            .all(|(_, reason)| *reason == MoveReason::OwnerLost)
    );
    let imbalance = service.imbalance();
    assert!(imbalance <= 1.1, "imbalance {imbalance}");
    service.statuses[3] = UpstreamStatus::Active;
    service.active_since[3] = TimeMs(service.now);
    let before = service.moves.len();
    // The upstream has its full share soon after its warm-up of 10 s, and nothing moves after that.
    for _ in 0..15 {
        service.tick(1.0, None);
    }
    let moves_when_full = service.moves.len();
    for _ in 0..120 {
        service.tick(1.0, None);
    }
    assert_eq!(
        service.moves.len(),
        moves_when_full,
        "moves after the warm-up"
    );
    let refill = service.moves.len() - before;
    assert!(
        refill <= lost_units * 11 / 10,
        "{refill} moves to refill {lost_units} units"
    );
    let imbalance = service.imbalance();
    assert!(imbalance <= 1.1, "imbalance {imbalance}");
}

/// Guards against hot keys that accumulate at one upstream, move back and forth between owners, or
/// are never merged again.
#[rstest]
fn changing_hot_keys_are_followed(#[values(1.0, DELAYED_SHARE)] measured_share: f64) {
    let mut service = Service::new(2_048, 20);
    service.measured_share = measured_share;
    service.set_load(24.0, |_| 1.0);
    for phase in 0..3 {
        let keys = (0..14).map(|at| KeyHash::of(format!("hot-{phase}-{at}")));
        service.keys = keys.map(|key| (key, 0.35 * SLOT_MS)).collect();
        let before = service.moves.len();
        for _ in 0..180 {
            service.tick(1.0, None);
        }
        let imbalance = service.imbalance();
        assert!(imbalance <= 1.2, "imbalance {imbalance} in phase {phase}");
        let moves = service.moves.len() - before;
        assert!(moves <= 192, "{moves} moves in 3 minutes");
        let split = service.placement.hot_keys.len();
        assert!(split <= 14, "{split} keys are split for 14 hot ones");
        assert!(
            service.hot_moves <= 2 * 14 * (phase + 1),
            "hot keys move back and forth"
        );
    }
    let before = service.moves.len();
    for _ in 0..60 {
        service.tick(1.0, None);
    }
    assert_eq!(service.moves.len(), before, "moves under a steady load");
}

/// Guards against units that move back and forth because the measured load shows each move late.
#[rstest]
#[case(1.0)]
#[case(1.3)]
#[case(1.5)]
fn late_measurements_cause_no_oscillation(#[case] skew: f64) {
    let mut service = Service::new(2_048, 10);
    service.measured_share = DELAYED_SHARE;
    service.set_load(15.0, |slice| if slice % 10 == 0 { skew } else { 1.0 });
    let assert_settles = |service: &mut Service, event: &str| {
        (0..180).for_each(|_| service.tick(1.0, None));
        let before = service.moves.len();
        (0..60).for_each(|_| service.tick(1.0, None));
        assert_eq!(service.moves.len(), before, "moves long after {event}");
        // The margin of 10 % applies to the cost, of which load makes up three quarters and keys
        // the rest. An upstream with two thirds of the mean number of keys may therefore keep a
        // load of up to 1.2 times the mean.
        let imbalance = service.imbalance();
        assert!(imbalance <= 1.2, "imbalance {imbalance} after {event}");
    };
    assert_settles(&mut service, "a change of load");
    // At most the units above the mean of 204.8 per upstream have to leave the loaded one.
    let excess = (205.0 * (skew - 1.0)).ceil() as usize;
    assert!(
        service.moves.len() <= excess,
        "{} moves",
        service.moves.len()
    );

    service.statuses[4] = UpstreamStatus::Lost;
    assert_settles(&mut service, "a loss");
    service.statuses[4] = UpstreamStatus::Active;
    service.active_since[4] = TimeMs(service.now);
    let before = service.moves.len();
    assert_settles(&mut service, "a return");
    let refill = service.moves.len() - before;
    assert!(
        refill <= 205 * 11 / 10,
        "{refill} moves to refill 205 units"
    );
}

/// Guards against unlimited moves at a cold start, when the measured load of new upstreams is still
/// mostly noise.
#[test]
fn cold_start_respects_limit() {
    let mut service = Service::new(1_024, 20);
    service.active_since = vec![TimeMs(service.now); 20];
    service.set_load(30.0, |slice| if slice % 20 < 5 { 3.0 } else { 1.0 });
    for _ in 0..10 {
        service.tick(1.0, None);
    }
    let moves = service.moves.len() as u64;
    assert!(
        moves <= service.policy.moves_per_minute,
        "{moves} moves in 10 s"
    );
}
