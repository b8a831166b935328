//! The planner's working copy of the units' costs and of what each upstream holds.

use super::{PlanInput, PlanUpstream};
use balsam_types::control::{UnitOwner, UpstreamStatus};
use balsam_types::{Map, UnitId, UpstreamName};

/// The total cost of all units.
///
/// Costs are rounded to whole numbers, so that their sums do not depend on the order of addition.
const COST_SCALE: f64 = (1_u64 << 44) as f64;

/// The utilisation from which load has its full weight in costs, as a share of all slot time.
const FULL_WEIGHT_UTILISATION: f64 = 0.1;

/// The full weight of load in a unit's cost; the rest is the unit's share of the key space.
const LOAD_WEIGHT: f64 = 0.75;

/// The share of an upstream's slots that counts at the start of its warm-up.
const WARMUP_START: f64 = 0.1;

/// The slot time that one slot provides in a second, in milliseconds.
const SLOT_MS_PER_SECOND: f64 = 1_000.0;

/// One upstream with the units that it holds and their cost.
#[derive(Debug)]
pub(super) struct Host<'a> {
    /// The upstream.
    pub info: &'a PlanUpstream,
    /// Its slots, reduced during its warm-up; zero if it must not get units.
    pub weight: f64,
    /// Whether it has recently become active and is still being filled.
    pub filling: bool,
    /// The cost of the units that it owns or is about to own.
    pub held_cost: f64,
    /// The number of units that it owns or is about to own.
    pub units: u64,
    /// The units that it owns and that may move, with their cost.
    pub movable: Vec<(f64, UnitId)>,
}

impl Host<'_> {
    /// Adds a unit that the upstream owns or is about to own.
    pub fn add_unit(&mut self, cost: f64) {
        self.held_cost += cost;
        self.units += 1;
    }

    /// Returns the held cost per slot.
    pub fn ratio(&self) -> f64 {
        self.held_cost / self.weight
    }

    /// Returns the slot time that the upstream provides in a second, in milliseconds.
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
    /// The index of the host that still owns it, if any.
    pub from: Option<usize>,
}

/// The costs of a service's units, and the upstreams that hold them.
#[derive(Debug)]
pub(super) struct Loads<'a> {
    /// The upstreams in the order of the input.
    pub hosts: Vec<Host<'a>>,
    /// Units that need an owner.
    pub unowned: Vec<Unowned>,
    index_by_name: Map<&'a UpstreamName, usize>,
    /// The cost for each unit of load.
    load_factor: f64,
}

/// A unit with an owner.
struct Owned {
    unit: UnitId,
    load: Option<f64>,
    /// The index of the host that serves the unit, or served it before its move.
    index: usize,
    /// The index of the next owner of a moving unit.
    moving_to: Option<usize>,
}

impl<'a> Loads<'a> {
    /// Computes the cost of every unit and adds up what every upstream holds.
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
                held_cost: 0.0,
                units: 0,
                movable: Vec::new(),
            });
        let index_by_name = input.upstreams.iter().enumerate();
        let mut loads = Self {
            hosts: hosts.collect(),
            unowned: Vec::new(),
            index_by_name: index_by_name
                .map(|(index, upstream)| (&upstream.name, index))
                .collect(),
            load_factor: 0.0,
        };
        let owned = loads.owned_units(input);
        let unassigned = unassigned_slices(input);
        let (estimates, mean) = estimate_loads(&loads.hosts, &owned);
        let load_of = |unit: &Owned| {
            let estimate = estimates[unit.index];
            unit.load.unwrap_or(estimate).max(estimate)
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
            loads.add_owned(unit, cost);
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
        self.index_by_name.get(name).copied()
    }

    /// Returns the part of a cost that stands for `load`.
    pub fn cost_of_load(&self, load: f64) -> f64 {
        (self.load_factor * load).round()
    }

    /// Returns whether an upstream that is being filled has fewer units than its share of the
    /// slots.
    pub fn is_filling(&self, index: usize) -> bool {
        let units: u64 = self.hosts.iter().map(|host| host.units).sum();
        let weight: f64 = self.hosts.iter().map(|host| host.weight).sum();
        let host = &self.hosts[index];
        host.filling && (host.units + 1) as f64 <= units as f64 * host.weight / weight
    }

    /// Returns the cost per slot at perfect balance.
    pub fn mean_ratio(&self) -> f64 {
        let held_cost: f64 = self.hosts.iter().map(|host| host.held_cost).sum();
        let weight: f64 = self.hosts.iter().map(|host| host.weight).sum();
        held_cost / weight
    }

    /// Returns the least loaded of the upstreams that can get units and satisfy `wanted`.
    pub fn least_loaded(&self, wanted: impl Fn(usize) -> bool) -> Option<usize> {
        let targets =
            (0..self.hosts.len()).filter(|index| self.hosts[*index].weight > 0.0 && wanted(*index));
        targets.min_by(|a, b| self.hosts[*a].ratio().total_cmp(&self.hosts[*b].ratio()))
    }

    /// Records a planned move and excludes its unit from further planning.
    pub fn record_move(&mut self, unit: UnitId, cost: f64, from: usize, to: usize) {
        self.hosts[from].held_cost -= cost;
        self.hosts[from].units -= 1;
        self.hosts[to].add_unit(cost);
        self.exclude(unit, from);
    }

    /// Excludes a unit from further planning.
    pub fn exclude(&mut self, unit: UnitId, index: usize) {
        self.hosts[index]
            .movable
            .retain(|(_, other)| *other != unit);
    }

    fn owned_units(&self, input: &PlanInput<'a>) -> Vec<Owned> {
        let entry = |(unit, owner): (&UnitId, &UnitOwner)| {
            let (index, moving_to) = match owner {
                UnitOwner::Owned(name) => (self.find(name)?, None),
                UnitOwner::Moving { from, to, .. } => {
                    let to = self.find(to)?;
                    (self.find(from).unwrap_or(to), Some(to))
                }
            };
            Some(Owned {
                unit: *unit,
                load: input.unit_loads.get(unit).copied(),
                index,
                moving_to,
            })
        };
        input.placement.units.iter().filter_map(entry).collect()
    }

    /// Returns the weight of load in costs.
    ///
    /// It falls with the utilisation, because the load of an almost idle service is mostly noise.
    fn load_share(&self, total_load: f64) -> f64 {
        let capacity: f64 = self.hosts.iter().map(Host::capacity).sum();
        if capacity <= 0.0 {
            return 0.0;
        }
        let utilisation = total_load / capacity;
        LOAD_WEIGHT * (utilisation / FULL_WEIGHT_UTILISATION).min(1.0)
    }

    fn add_owned(&mut self, unit: &Owned, cost: f64) {
        if let Some(to) = unit.moving_to {
            self.hosts[to].add_unit(cost);
            return;
        }
        let host = &mut self.hosts[unit.index];
        if host.info.status == UpstreamStatus::Active {
            host.add_unit(cost);
            host.movable.push((cost, unit.unit));
        } else {
            self.unowned.push(Unowned {
                unit: unit.unit,
                cost,
                from: Some(unit.index),
            });
        }
    }
}

/// Estimates the load of a unit of unknown load, for each upstream and for units without an owner.
///
/// The load of an upstream that is not attributed to a unit is spread evenly over its other units.
fn estimate_loads(hosts: &[Host<'_>], owned: &[Owned]) -> (Vec<f64>, f64) {
    let mut unattributed: Vec<f64> = hosts.iter().map(|host| host.info.load).collect();
    let mut unknown = vec![0_u64; hosts.len()];
    for unit in owned {
        match unit.load {
            Some(load) => unattributed[unit.index] -= load,
            None => unknown[unit.index] += 1,
        }
    }
    let spread = |unattributed: f64, count: u64| match count {
        0 => 0.0,
        count => unattributed.max(0.0) / count as f64,
    };
    let mean = spread(unattributed.iter().sum(), unknown.iter().sum());
    let estimates = unattributed.into_iter().zip(unknown);
    (
        estimates
            .map(|(unattributed, count)| spread(unattributed, count))
            .collect(),
        mean,
    )
}

/// Returns the weight of each upstream: its slots, reduced during its warm-up.
///
/// While no active upstream is past its warm-up, all of them count in full, because there is no
/// other upstream that could take the load off them.
fn weights(input: &PlanInput<'_>) -> Vec<f64> {
    let warmup_ms = input.policy.warmup_ms;
    let age_ms = |upstream: &PlanUpstream| input.now.since(upstream.active_since);
    let is_active = |upstream: &PlanUpstream| upstream.status == UpstreamStatus::Active;
    let any_warmed_up = input
        .upstreams
        .iter()
        .any(|upstream| is_active(upstream) && age_ms(upstream) >= warmup_ms);
    let weight = |upstream: &PlanUpstream| {
        if !is_active(upstream) {
            return 0.0;
        }
        let slots = f64::from(upstream.slots.max(1));
        if !any_warmed_up || age_ms(upstream) >= warmup_ms {
            return slots;
        }
        let warmup_share = age_ms(upstream) as f64 / warmup_ms as f64;
        slots * warmup_share.max(WARMUP_START)
    };
    input.upstreams.iter().map(weight).collect()
}

/// Returns whether the upstream warms up, or has done so recently and gets the rest of its units.
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
