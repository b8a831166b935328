//! One service whose moves complete at once, driven by the planner once a second.

use super::KeyLoad;
use balsam_decide::control::ServicePlacement;
use balsam_decide::hotkeys::SKETCH_COUNTERS;
use balsam_decide::placement::{PlanInput, PlanStep, PlanUpstream, plan};
use balsam_decide::settings::ServicePolicy;
use balsam_types::control::{MoveReason, UnitOwner, UpstreamStatus};
use balsam_types::{KeyHash, Map, NameError, TimeMs, UnitId, UpstreamName, new_map};

const SLOTS: u32 = 3;
/// Slot time of one upstream in a second.
pub(super) const CAPACITY_MS: f64 = SLOTS as f64 * 1_000.0;
const TICK_MS: u64 = 1_000;
/// The time over which moves count against the limit per minute.
const MINUTE_MS: u64 = 60_000;
/// Units of each upstream whose load the placer knows.
const KNOWN_UNITS: usize = 64;

/// What happened after a change.
#[derive(Clone, Copy, Debug)]
pub(super) struct ModelRun {
    pub units_moved: u64,
    pub slices: u64,
    pub settled_s: u64,
}

/// A service, its upstreams and the moves of the last minute.
#[derive(Debug)]
pub(super) struct Model {
    policy: ServicePolicy,
    placement: ServicePlacement,
    upstreams: Vec<PlanUpstream>,
    now: TimeMs,
    limited_moves: Vec<TimeMs>,
}

impl Model {
    pub(super) fn new(slices: u64, upstreams: usize) -> Result<Self, NameError> {
        let mut model = Self {
            policy: ServicePolicy {
                slices,
                default_rank: "lookup".parse()?,
                connections: 120,
                quarantine_crashes: 3,
                quarantine_ttl_ms: 600_000,
                move_margin_percent: 10,
                moves_per_minute: 64,
                hot_key_percent: 20,
                warmup_ms: 10_000,
            },
            placement: ServicePlacement::default(),
            upstreams: Vec::new(),
            now: TimeMs(MINUTE_MS),
            limited_moves: Vec::new(),
        };
        for _ in 0..upstreams {
            model.add()?;
        }
        Ok(model)
    }

    /// Adds an active upstream, which warms up.
    pub(super) fn add(&mut self) -> Result<(), NameError> {
        self.upstreams.push(PlanUpstream {
            name: UpstreamName::new(format!("lookup-{:03}", self.upstreams.len()))?,
            status: UpstreamStatus::Active,
            slots: SLOTS,
            load: 0.0,
            active_since: self.now,
            heavy_keys: Vec::new(),
        });
        Ok(())
    }

    pub(super) fn set_status(&mut self, at: usize, status: UpstreamStatus) {
        self.upstreams[at].status = status;
        self.upstreams[at].active_since = self.now;
    }

    pub(super) fn active(&self) -> Vec<usize> {
        let active = |at: &usize| self.upstreams[*at].status == UpstreamStatus::Active;
        (0..self.upstreams.len()).filter(active).collect()
    }

    pub(super) fn names(&self) -> Vec<&UpstreamName> {
        self.upstreams
            .iter()
            .map(|upstream| &upstream.name)
            .collect()
    }

    pub(super) fn owner(&self, key: KeyHash) -> Option<usize> {
        let unit = self.placement.unit_of(key, self.policy.slices);
        self.index_of(self.placement.units.get(&unit)?)
    }

    /// Runs the planner for `seconds` under the loads of `keys`.
    pub(super) fn run(&mut self, keys: &[KeyLoad], seconds: u64) -> ModelRun {
        let mut run = ModelRun {
            units_moved: 0,
            slices: self.policy.slices,
            settled_s: 0,
        };
        for second in 1..=seconds {
            let moved = self.tick(keys);
            if moved > 0 {
                run.units_moved += moved;
                run.settled_s = second;
            }
        }
        run
    }

    fn index_of(&self, owner: &UnitOwner) -> Option<usize> {
        let UnitOwner::Owned(name) = owner else {
            return None;
        };
        self.upstreams.iter().position(|one| one.name == *name)
    }

    /// Plans once, carries the steps out and returns the number of moves.
    fn tick(&mut self, keys: &[KeyLoad]) -> u64 {
        self.now = TimeMs(self.now.0 + TICK_MS);
        let unit_loads = self.measure(keys);
        let since = self.now.0 - MINUTE_MS;
        self.limited_moves.retain(|at| at.0 > since);
        let steps = plan(&PlanInput {
            now: self.now,
            policy: &self.policy,
            upstreams: &self.upstreams,
            placement: &self.placement,
            unit_loads: &unit_loads,
            recent_moves: self.limited_moves.len() as u64,
        });
        steps.into_iter().map(|step| self.apply(step)).sum()
    }

    /// Sets what the dispatchers report, without their delay, and returns the loads of units.
    fn measure(&mut self, keys: &[KeyLoad]) -> Map<UnitId, f64> {
        let mut loads: Map<UnitId, f64> = new_map();
        let mut heavy: Vec<Vec<KeyLoad>> = vec![Vec::new(); self.upstreams.len()];
        let mean = keys.iter().map(|(_, load)| load).sum::<f64>() / keys.len().max(1) as f64;
        for (key, load) in keys {
            let unit = self.placement.unit_of(*key, self.policy.slices);
            *loads.entry(unit).or_default() += load;
            if *load > 2.0 * mean
                && let Some(at) = self.owner(*key)
            {
                heavy[at].push((*key, *load));
            }
        }
        let mut by_upstream: Vec<Vec<(f64, UnitId)>> = vec![Vec::new(); self.upstreams.len()];
        let index: Map<&UpstreamName, usize> = self
            .upstreams
            .iter()
            .enumerate()
            .map(|(at, one)| (&one.name, at))
            .collect();
        for (unit, owner) in &self.placement.units {
            if let UnitOwner::Owned(name) = owner
                && let Some(at) = index.get(name)
            {
                by_upstream[*at].push((loads.get(unit).copied().unwrap_or(0.0), *unit));
            }
        }
        let mut known: Map<UnitId, f64> = new_map();
        for ((upstream, mut units), mut heavy) in
            self.upstreams.iter_mut().zip(by_upstream).zip(heavy)
        {
            upstream.load = units.iter().map(|(load, _)| load).sum();
            units.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
            known.extend(
                units
                    .iter()
                    .take(KNOWN_UNITS)
                    .map(|(load, unit)| (*unit, *load)),
            );
            heavy.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
            heavy.truncate(SKETCH_COUNTERS);
            upstream.heavy_keys = heavy;
        }
        known
    }

    fn apply(&mut self, step: PlanStep) -> u64 {
        let units = &mut self.placement.units;
        match step {
            PlanStep::Assign { unit, to } => {
                units.insert(unit, UnitOwner::Owned(to));
                0
            }
            PlanStep::Move(one) => {
                units.insert(one.unit, UnitOwner::Owned(one.to));
                match one.reason {
                    MoveReason::Balance | MoveReason::HotKey => self.limited_moves.push(self.now),
                    MoveReason::OwnerLost | MoveReason::OwnerDraining => {}
                }
                1
            }
            PlanStep::Split { key, to } => {
                units.insert(UnitId::hot_key(key), UnitOwner::Owned(to));
                self.placement.hot_keys.insert(key);
                self.limited_moves.push(self.now);
                1
            }
            PlanStep::Merge { key } => {
                units.remove(&UnitId::hot_key(key));
                self.placement.hot_keys.remove(&key);
                0
            }
        }
    }
}
