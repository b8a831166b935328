//! Splits of hot keys into units of their own, and merges of keys that have cooled down.

use super::loads::Loads;
use super::{PlanInput, PlanStep};
use balsam_types::control::{MoveReason, UnitMove, UnitOwner, UpstreamStatus};
use balsam_types::{KeyHash, UnitId, UpstreamName};

/// The load below which no key is hot, as a share of its upstream's slot time.
///
/// Without this limit a single request on an almost idle upstream would make its key hot.
const HOT_LOAD_MIN: f64 = 0.01;

/// The load below which a hot key is merged, as a share of the load above which it is split off.
const MERGE_SHARE: f64 = 0.5;

/// The number of hot keys of a service up to which keys of unknown load are not merged.
///
/// The load of a key that has just moved is unknown until its new owner's first sample, so an
/// unknown load alone does not mean that the key has cooled down.
const UNKNOWN_LOAD_MAX: usize = 64;

/// Plans splits of keys that exceed their share of an upstream's load and fit better elsewhere.
pub(super) fn plan_splits(
    input: &PlanInput<'_>,
    loads: &mut Loads<'_>,
    budget: &mut u64,
) -> Vec<PlanStep> {
    let mut steps = Vec::new();
    for (index, upstream) in input.upstreams.iter().enumerate() {
        if upstream.status != UpstreamStatus::Active {
            continue;
        }
        let threshold = split_threshold(input, loads, index);
        let mut keys = upstream.heavy_keys.clone();
        keys.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        for (key, load) in keys {
            if *budget == 0 || load <= threshold {
                break;
            }
            if !can_split(input, key, &upstream.name) {
                continue;
            }
            let Some(to) = find_better_host(input, loads, index, load) else {
                continue;
            };
            let cost = loads.cost_of_load(load);
            loads.hosts[index].held_cost -= cost;
            loads.hosts[to].add_unit(cost);
            // The cost of the slice without the key is known only after the split.
            loads.exclude(UnitId::slice_of(key, input.policy.slices), index);
            *budget -= 1;
            steps.push(PlanStep::Split {
                key,
                to: input.upstreams[to].name.clone(),
            });
        }
    }
    steps
}

/// Plans merges of keys that are no longer hot.
///
/// A merge requires the key and its slice to have the same owner, so a key with another owner first
/// moves to the owner of its slice.
pub(super) fn plan_merges(
    input: &PlanInput<'_>,
    loads: &mut Loads<'_>,
    budget: &mut u64,
) -> Vec<PlanStep> {
    let mut steps = Vec::new();
    for key in &input.placement.hot_keys {
        let unit = UnitId::hot_key(*key);
        let Some(index) = active_owner(input, loads, unit) else {
            continue;
        };
        if !has_cooled(input, loads, *key, index) {
            continue;
        }
        let slice = UnitId::slice_of(*key, input.policy.slices);
        let Some(slice_owner) = active_owner(input, loads, slice) else {
            continue;
        };
        if slice_owner == index {
            loads.exclude(unit, index);
            loads.exclude(slice, index);
            steps.push(PlanStep::Merge { key: *key });
        } else if *budget > 0 {
            *budget -= 1;
            let load = input.unit_loads.get(&unit).copied().unwrap_or(0.0);
            let cost = loads.cost_of_load(load);
            loads.record_move(unit, cost, index, slice_owner);
            loads.exclude(slice, slice_owner);
            steps.push(PlanStep::Move(UnitMove {
                unit,
                from: input.upstreams[index].name.clone(),
                to: input.upstreams[slice_owner].name.clone(),
                reason: MoveReason::HotKey,
            }));
        }
    }
    steps
}

/// Returns the load above which a key of the upstream is hot.
fn split_threshold(input: &PlanInput<'_>, loads: &Loads<'_>, index: usize) -> f64 {
    let share = input.policy.hot_key_percent as f64 / 100.0;
    let minimum = loads.hosts[index].capacity() * HOT_LOAD_MIN;
    (input.upstreams[index].load * share).max(minimum)
}

fn can_split(input: &PlanInput<'_>, key: KeyHash, owner: &UpstreamName) -> bool {
    let slice = UnitId::slice_of(key, input.policy.slices);
    let units = &input.placement.units;
    let owns_slice = matches!(units.get(&slice), Some(UnitOwner::Owned(name)) if name == owner);
    // Keys whose hashes differ only in the top bit have the same unit id, so it may be taken.
    owns_slice && !units.contains_key(&UnitId::hot_key(key))
}

/// Returns the least loaded other host, if with `load` added it stays below `from` by the margin.
fn find_better_host(
    input: &PlanInput<'_>,
    loads: &Loads<'_>,
    from: usize,
    load: f64,
) -> Option<usize> {
    let to = loads.least_loaded(|index| index != from)?;
    let margin = loads.mean_ratio() * input.policy.move_margin_percent as f64 / 100.0;
    let host = &loads.hosts[to];
    let ratio_after = (host.held_cost + loads.cost_of_load(load)) / host.weight;
    (ratio_after + margin <= loads.hosts[from].ratio()).then_some(to)
}

fn has_cooled(input: &PlanInput<'_>, loads: &Loads<'_>, key: KeyHash, index: usize) -> bool {
    let upstream = &input.upstreams[index];
    if upstream.load < loads.hosts[index].capacity() * HOT_LOAD_MIN {
        // The load of keys at an idle upstream, or at one without a sample yet, is not known.
        return false;
    }
    let unit_load = input.unit_loads.get(&UnitId::hot_key(key)).copied();
    let Some(load) = unit_load.or_else(|| key_load(input, key)) else {
        return input.placement.hot_keys.len() > UNKNOWN_LOAD_MAX;
    };
    // The load that the new owner measures after a move is still rising, so the load at all
    // upstreams counts if it is greater.
    let load = load.max(key_load(input, key).unwrap_or(0.0));
    load < split_threshold(input, loads, index) * MERGE_SHARE
}

/// Returns the total load of a heavy key at all upstreams, including its former owner.
fn key_load(input: &PlanInput<'_>, key: KeyHash) -> Option<f64> {
    let keys = input.upstreams.iter().flat_map(|one| &one.heavy_keys);
    let loads = keys
        .filter(|(heavy_key, _)| *heavy_key == key)
        .map(|(_, load)| *load);
    loads.reduce(|sum, load| sum + load)
}

fn active_owner(input: &PlanInput<'_>, loads: &Loads<'_>, unit: UnitId) -> Option<usize> {
    let Some(UnitOwner::Owned(name)) = input.placement.units.get(&unit) else {
        return None;
    };
    let index = loads.find(name)?;
    (input.upstreams[index].status == UpstreamStatus::Active).then_some(index)
}
