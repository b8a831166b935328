//! Hot keys as units of their own.

use super::loads::Loads;
use super::{PlanInput, PlanStep};
use balsam_types::control::{MoveReason, UnitMove, UnitOwner, UpstreamStatus};
use balsam_types::{KeyHash, UnitId, UpstreamName};

/// The load below which no key is hot, as a share of its upstream's slot time.
///
/// On an almost idle upstream a single request would make its key hot.
const HOT_LOAD_MIN: f64 = 0.01;

/// A hot key is merged below this share of the load at which it is split off.
const MERGE_BELOW: f64 = 0.5;

/// Hot keys that a service keeps although their load is unknown.
///
/// The load of a key that has just moved is unknown until its new owner's first sample, so an
/// unknown load alone does not mean that the key has cooled.
const UNKNOWN_KEPT: usize = 64;

/// Plans splits of keys that exceed their share of an upstream's load and have a better place.
pub(super) fn plan_splits(
    input: &PlanInput<'_>,
    loads: &mut Loads<'_>,
    budget: &mut u64,
) -> Vec<PlanStep> {
    let mut steps = Vec::new();
    for (at, upstream) in input.upstreams.iter().enumerate() {
        if upstream.status != UpstreamStatus::Active {
            continue;
        }
        let threshold = split_load(input, loads, at);
        let mut keys = upstream.heavy_keys.clone();
        keys.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        for (key, load) in keys {
            if *budget == 0 || load <= threshold {
                break;
            }
            if !can_split(input, key, &upstream.name) {
                continue;
            }
            let Some(to) = better_host(input, loads, at, load) else {
                continue;
            };
            let cost = loads.cost_of_load(load);
            loads.hosts[at].held -= cost;
            loads.hosts[to].gain(cost);
            // The slice's own cost is known only after the split.
            loads.pin(UnitId::slice_of(key, input.policy.slices), at);
            *budget -= 1;
            steps.push(PlanStep::Split {
                key,
                to: input.upstreams[to].name.clone(),
            });
        }
    }
    steps
}

/// Plans the way back of keys that are no longer hot.
///
/// A merge needs the key and its slice at one owner, so a key elsewhere moves there first.
pub(super) fn plan_merges(
    input: &PlanInput<'_>,
    loads: &mut Loads<'_>,
    budget: &mut u64,
) -> Vec<PlanStep> {
    let mut steps = Vec::new();
    for key in &input.placement.hot_keys {
        let unit = UnitId::hot_key(*key);
        let Some(at) = active_owner(input, loads, unit) else {
            continue;
        };
        if !has_cooled(input, loads, *key, at) {
            continue;
        }
        let slice = UnitId::slice_of(*key, input.policy.slices);
        let Some(home) = active_owner(input, loads, slice) else {
            continue;
        };
        if home == at {
            loads.pin(unit, at);
            loads.pin(slice, at);
            steps.push(PlanStep::Merge { key: *key });
        } else if *budget > 0 {
            *budget -= 1;
            let load = input.unit_loads.get(&unit).copied().unwrap_or(0.0);
            let cost = loads.cost_of_load(load);
            loads.shift(unit, cost, at, home);
            loads.pin(slice, home);
            steps.push(PlanStep::Move(UnitMove {
                unit,
                from: input.upstreams[at].name.clone(),
                to: input.upstreams[home].name.clone(),
                reason: MoveReason::HotKey,
            }));
        }
    }
    steps
}

/// Returns the load above which a key of the upstream is hot.
fn split_load(input: &PlanInput<'_>, loads: &Loads<'_>, at: usize) -> f64 {
    let share = input.policy.hot_key_percent as f64 / 100.0;
    let least = loads.hosts[at].capacity() * HOT_LOAD_MIN;
    (input.upstreams[at].load * share).max(least)
}

fn can_split(input: &PlanInput<'_>, key: KeyHash, owner: &UpstreamName) -> bool {
    let slice = UnitId::slice_of(key, input.policy.slices);
    let units = &input.placement.units;
    let owns_slice = matches!(units.get(&slice), Some(UnitOwner::Owned(name)) if name == owner);
    // Two keys whose hashes differ only in the top bit share one unit id.
    owns_slice && !units.contains_key(&UnitId::hot_key(key))
}

/// Returns the least filled host if moving `load` there narrows the gap by the margin.
fn better_host(input: &PlanInput<'_>, loads: &Loads<'_>, from: usize, load: f64) -> Option<usize> {
    let to = loads.least_filled(|at| at != from)?;
    let margin = loads.mean_ratio() * input.policy.move_margin_percent as f64 / 100.0;
    let host = &loads.hosts[to];
    let after = (host.held + loads.cost_of_load(load)) / host.weight;
    (after + margin <= loads.hosts[from].ratio()).then_some(to)
}

fn has_cooled(input: &PlanInput<'_>, loads: &Loads<'_>, key: KeyHash, at: usize) -> bool {
    let upstream = &input.upstreams[at];
    if upstream.load < loads.hosts[at].capacity() * HOT_LOAD_MIN {
        // An idle upstream, or one without a sample yet, says nothing about its keys.
        return false;
    }
    let unit_load = input.unit_loads.get(&UnitId::hot_key(key)).copied();
    let Some(load) = unit_load.or_else(|| key_load(input, key)) else {
        return input.placement.hot_keys.len() > UNKNOWN_KEPT;
    };
    // The new owner's measurement of a key that has just moved is still rising.
    let load = load.max(key_load(input, key).unwrap_or(0.0));
    load < split_load(input, loads, at) * MERGE_BELOW
}

/// Returns the load of a heavy key at all upstreams, its former owner included.
fn key_load(input: &PlanInput<'_>, key: KeyHash) -> Option<f64> {
    let keys = input.upstreams.iter().flat_map(|one| &one.heavy_keys);
    let loads = keys.filter(|(of, _)| *of == key).map(|(_, load)| *load);
    loads.reduce(|sum, load| sum + load)
}

fn active_owner(input: &PlanInput<'_>, loads: &Loads<'_>, unit: UnitId) -> Option<usize> {
    let Some(UnitOwner::Owned(name)) = input.placement.units.get(&unit) else {
        return None;
    };
    let at = loads.find(name)?;
    (input.upstreams[at].status == UpstreamStatus::Active).then_some(at)
}
