//! The planner's working copy of who holds how much.

use super::{PlanInput, PlanUpstream};
use balsam_types::control::{UnitOwner, UpstreamStatus};
use balsam_types::{Map, UnitId, UpstreamName};

/// The cost of all units together. Costs are whole numbers, so that sums do not depend on order.
const COST_SCALE: f64 = (1_u64 << 44) as f64;

/// The utilisation from which load has its full weight, as a share of all slot time.
const LOAD_COUNTS_FROM: f64 = 0.1;

/// The weight of load in a unit's cost; the rest is the unit's share of the key space.
const LOAD_WEIGHT: f64 = 0.75;

/// The share of its slots that an upstream counts with at the start of its warm-up.
const WARMUP_START: f64 = 0.1;

/// Slot time that one slot has in a second.
const SLOT_MS_PER_SECOND: f64 = 1_000.0;

/// One upstream with the cost that it holds.
#[derive(Debug)]
pub(super) struct Host<'a> {
    /// The upstream.
    pub info: &'a PlanUpstream,
    /// Its share of the slots; zero if it must not get units.
    pub weight: f64,
    /// Whether it is new or has returned and is being filled.
    pub filling: bool,
    /// The cost of the units that it owns or is about to own.
    pub held: f64,
    /// The number of units that it owns or is about to own.
    pub units: u64,
    /// The units that it owns and that may move, with their cost.
    pub movable: Vec<(f64, UnitId)>,
}

impl Host<'_> {
    /// Adds a unit that the upstream owns or is about to own.
    pub fn gain(&mut self, cost: f64) {
        self.held += cost;
        self.units += 1;
    }

    /// Returns the held cost for each slot.
    pub fn ratio(&self) -> f64 {
        self.held / self.weight
    }

    /// Returns the slot time that the upstream has in a second.
    pub fn capacity(&self) -> f64 {
        f64::from(self.info.slots) * SLOT_MS_PER_SECOND
    }
}

/// A unit that needs an owner.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unowned {
    /// The unit.
    pub unit: UnitId,
    /// Its cost.
    pub cost: f64,
    /// The host that still owns it, if any.
    pub from: Option<usize>,
}

/// Costs and holdings of one service.
#[derive(Debug)]
pub(super) struct Loads<'a> {
    /// The upstreams in the order of the input.
    pub hosts: Vec<Host<'a>>,
    /// Units that need an owner.
    pub unowned: Vec<Unowned>,
    index: Map<&'a UpstreamName, usize>,
    load_factor: f64,
}

struct Owned {
    unit: UnitId,
    load: Option<f64>,
    /// The host that serves the unit, or served it before its move.
    at: usize,
    /// The next owner of a moving unit.
    moving_to: Option<usize>,
}

impl<'a> Loads<'a> {
    /// Adds up what every upstream holds.
    pub fn new(input: &PlanInput<'a>) -> Self {
        let weights = weights(input);
        let hosts = input
            .upstreams
            .iter()
            .zip(weights)
            .map(|(info, weight)| Host {
                info,
                weight,
                filling: is_filling(input, info),
                held: 0.0,
                units: 0,
                movable: Vec::new(),
            });
        let index = input.upstreams.iter().enumerate();
        let mut loads = Self {
            hosts: hosts.collect(),
            unowned: Vec::new(),
            index: index.map(|(at, upstream)| (&upstream.name, at)).collect(),
            load_factor: 0.0,
        };
        let owned = loads.owned_units(input);
        let unassigned = unassigned_slices(input);
        let (guesses, mean) = guess_loads(&loads.hosts, &owned);
        let load_of = |unit: &Owned| {
            let guess = guesses[unit.at];
            unit.load.unwrap_or(guess).max(guess)
        };
        let total_load: f64 = owned.iter().map(load_of).sum();
        let count = (owned.len() + unassigned.len()).max(1) as f64;
        let load_share = loads.load_share(total_load);
        let key_cost = (1.0 - load_share) / count * COST_SCALE;
        if total_load > 0.0 {
            loads.load_factor = load_share / total_load * COST_SCALE;
        }
        for unit in &owned {
            let cost = (key_cost + loads.load_factor * load_of(unit)).round();
            loads.enter(unit, cost);
        }
        for unit in unassigned {
            let load = input.unit_loads.get(&unit).copied().unwrap_or(mean);
            let cost = (key_cost + loads.load_factor * load).round();
            loads.unowned.push(Unowned {
                unit,
                cost,
                from: None,
            });
        }
        loads
    }

    /// Returns whether any upstream can get units.
    pub fn has_targets(&self) -> bool {
        self.hosts.iter().any(|host| host.weight > 0.0)
    }

    /// Returns the index of the upstream `name`.
    pub fn find(&self, name: &UpstreamName) -> Option<usize> {
        self.index.get(name).copied()
    }

    /// Returns the part of a cost that stands for `load`.
    pub fn cost_of_load(&self, load: f64) -> f64 {
        (self.load_factor * load).round()
    }

    /// Returns whether an upstream that is being filled has fewer units than its share of the slots.
    pub fn is_filling(&self, at: usize) -> bool {
        let units: u64 = self.hosts.iter().map(|host| host.units).sum();
        let weight: f64 = self.hosts.iter().map(|host| host.weight).sum();
        let host = &self.hosts[at];
        host.filling && (host.units + 1) as f64 <= units as f64 * host.weight / weight
    }

    /// Returns the cost for each slot at perfect balance.
    pub fn mean_ratio(&self) -> f64 {
        let held: f64 = self.hosts.iter().map(|host| host.held).sum();
        let weight: f64 = self.hosts.iter().map(|host| host.weight).sum();
        held / weight
    }

    /// Returns the least filled of the wanted upstreams that can get units.
    pub fn least_filled(&self, wanted: impl Fn(usize) -> bool) -> Option<usize> {
        let targets =
            (0..self.hosts.len()).filter(|at| self.hosts[*at].weight > 0.0 && wanted(*at));
        targets.min_by(|a, b| self.hosts[*a].ratio().total_cmp(&self.hosts[*b].ratio()))
    }

    /// Books a planned move and keeps its unit from being planned again.
    pub fn shift(&mut self, unit: UnitId, cost: f64, from: usize, to: usize) {
        self.hosts[from].held -= cost;
        self.hosts[from].units -= 1;
        self.hosts[to].gain(cost);
        self.pin(unit, from);
    }

    /// Keeps a unit from being planned again.
    pub fn pin(&mut self, unit: UnitId, at: usize) {
        self.hosts[at].movable.retain(|(_, other)| *other != unit);
    }

    fn owned_units(&self, input: &PlanInput<'a>) -> Vec<Owned> {
        let entry = |(unit, owner): (&UnitId, &UnitOwner)| {
            let (at, moving_to) = match owner {
                UnitOwner::Owned(name) => (self.find(name)?, None),
                UnitOwner::Moving { from, to, .. } => {
                    let to = self.find(to)?;
                    (self.find(from).unwrap_or(to), Some(to))
                }
            };
            Some(Owned {
                unit: *unit,
                load: input.unit_loads.get(unit).copied(),
                at,
                moving_to,
            })
        };
        input.placement.units.iter().filter_map(entry).collect()
    }

    /// Returns the weight of load in costs; the load of an almost idle service is noise.
    fn load_share(&self, total_load: f64) -> f64 {
        let capacity: f64 = self.hosts.iter().map(Host::capacity).sum();
        if capacity <= 0.0 {
            return 0.0;
        }
        let utilisation = total_load / capacity;
        LOAD_WEIGHT * (utilisation / LOAD_COUNTS_FROM).min(1.0)
    }

    fn enter(&mut self, unit: &Owned, cost: f64) {
        if let Some(to) = unit.moving_to {
            self.hosts[to].gain(cost);
            return;
        }
        let host = &mut self.hosts[unit.at];
        if host.info.status == UpstreamStatus::Active {
            host.gain(cost);
            host.movable.push((cost, unit.unit));
        } else {
            self.unowned.push(Unowned {
                unit: unit.unit,
                cost,
                from: Some(unit.at),
            });
        }
    }
}

/// Returns the load of a unit of unknown load, for each upstream and for units without an owner.
///
/// The load that is not attributed to a unit is spread evenly over an upstream's other units.
fn guess_loads(hosts: &[Host<'_>], owned: &[Owned]) -> (Vec<f64>, f64) {
    let mut rest: Vec<f64> = hosts.iter().map(|host| host.info.load).collect();
    let mut unknown = vec![0_u64; hosts.len()];
    for unit in owned {
        match unit.load {
            Some(load) => rest[unit.at] -= load,
            None => unknown[unit.at] += 1,
        }
    }
    let spread = |rest: f64, count: u64| match count {
        0 => 0.0,
        count => rest.max(0.0) / count as f64,
    };
    let mean = spread(rest.iter().sum(), unknown.iter().sum());
    let guesses = rest.into_iter().zip(unknown);
    (
        guesses.map(|(rest, count)| spread(rest, count)).collect(),
        mean,
    )
}

/// Returns the weight of each upstream: its slots, reduced while it warms up.
///
/// Without any upstream past its warm-up nothing is gained by sparing some of them.
fn weights(input: &PlanInput<'_>) -> Vec<f64> {
    let warmup_ms = input.policy.warmup_ms;
    let age_ms = |upstream: &PlanUpstream| input.now.since(upstream.active_since);
    let is_active = |upstream: &PlanUpstream| upstream.status == UpstreamStatus::Active;
    let any_warm = input
        .upstreams
        .iter()
        .any(|upstream| is_active(upstream) && age_ms(upstream) >= warmup_ms);
    let weight = |upstream: &PlanUpstream| {
        if !is_active(upstream) {
            return 0.0;
        }
        let slots = f64::from(upstream.slots.max(1));
        if !any_warm || age_ms(upstream) >= warmup_ms {
            return slots;
        }
        let warm = age_ms(upstream) as f64 / warmup_ms as f64;
        slots * warm.max(WARMUP_START)
    };
    input.upstreams.iter().map(weight).collect()
}

/// Returns whether the upstream warms up or has just done so and gets the rest of its units.
fn is_filling(input: &PlanInput<'_>, upstream: &PlanUpstream) -> bool {
    let warmup_ms = input.policy.warmup_ms;
    input.now.since(upstream.active_since) < warmup_ms + warmup_ms / 2
}

fn unassigned_slices(input: &PlanInput<'_>) -> Vec<UnitId> {
    let mut assigned = input.placement.units.keys().peekable();
    let mut missing = Vec::new();
    for slice in (0..input.policy.slices).map(UnitId) {
        while assigned.next_if(|unit| **unit < slice).is_some() {}
        if assigned.peek() != Some(&&slice) {
            missing.push(slice);
        }
    }
    missing
}
