//! `placement`: balance and churn of the planner against two baselines, without processes.

mod baseline;
mod model;

use super::MeasureError;
use super::sheet::Sheet;
use balsam_types::KeyHash;
use balsam_types::control::UpstreamStatus;
use baseline::Baseline;
use clap::Args;
use model::Model;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

/// Options of `placement`.
#[derive(Debug, Args)]
pub struct PlacementOptions {
    /// Upstreams of the service at the start.
    #[arg(long, default_value_t = 20)]
    upstreams: usize,
    /// Slices of the service.
    #[arg(long, default_value_t = 4_096)]
    slices: u64,
    /// Sampled keys.
    #[arg(long, default_value_t = 50_000)]
    keys: usize,
    /// Seconds of the model after each change.
    #[arg(long, default_value_t = 600)]
    seconds: u64,
}

const SEED: u64 = 13;
/// Hot keys at a time, as in the scale of the design page.
const HOT_KEYS: usize = 14;
/// The share of all load that the hot keys have together.
const HOT_SHARE: f64 = 0.3;
/// The share of all slots that the load takes.
const UTILISATION: f64 = 0.5;

/// A key and its load in milliseconds of slot time for each second.
type KeyLoad = (KeyHash, f64);

#[derive(Debug, Serialize)]
struct PlacementResult {
    change: &'static str,
    strategy: &'static str,
    /// Greatest number of keys of an upstream over the mean.
    keys_max_over_mean: f64,
    /// Greatest load of an upstream over the mean.
    load_max_over_mean: f64,
    /// Keys whose owner is another one than before the change.
    keys_moved: usize,
    /// The fewest keys that must move for an even spread.
    keys_least: usize,
    /// Moves of units, repeated ones included; only the planner has units.
    units_moved: Option<u64>,
    units_least: Option<u64>,
    /// Time of the last move after the change, in seconds of the model.
    settled_s: Option<u64>,
}

/// The planner and the baselines under the same keys and changes.
struct Comparison {
    model: Model,
    keys: Vec<KeyLoad>,
    seconds: u64,
    owners: [Vec<Option<usize>>; 3],
}

const STRATEGIES: [&str; 3] = ["planner", "hash-modulo", "rendezvous"];

/// Applies one change after the other and reports each strategy's balance and moves.
pub(super) fn run(options: &PlacementOptions, sheet: &mut Sheet) -> Result<(), MeasureError> {
    let mut random = StdRng::seed_from_u64(SEED);
    let capacity = options.upstreams as f64 * model::CAPACITY_MS;
    let mut keys = even_keys(options.keys, capacity * UTILISATION);
    heat(&mut keys, &mut random);
    let mut comparison = Comparison {
        model: Model::new(options.slices, options.upstreams)?,
        keys,
        seconds: options.seconds,
        owners: Default::default(),
    };
    comparison.change("start", 0.0, sheet)?;
    comparison.model.add()?;
    let share = 1.0 / (options.upstreams + 1) as f64;
    comparison.change("add", share, sheet)?;
    comparison.model.set_status(0, UpstreamStatus::Lost);
    comparison.change("loss", share, sheet)?;
    comparison.model.set_status(0, UpstreamStatus::Active);
    comparison.change("return", share, sheet)?;
    for change in ["hot-change-1", "hot-change-2"] {
        comparison.keys = even_keys(options.keys, capacity * UTILISATION);
        heat(&mut comparison.keys, &mut random);
        comparison.change(change, 0.0, sheet)?;
    }
    Ok(())
}

/// Returns keys whose loads are equal, apart from the hot ones, with `total` as their sum.
fn even_keys(count: usize, total: f64) -> Vec<KeyLoad> {
    let each = total * (1.0 - HOT_SHARE) / count as f64;
    (0..count)
        .map(|number| (KeyHash::of(format!("key-{number}")), each))
        .collect()
}

/// Gives the load of hot keys to keys drawn at random; the first has twice that of the last.
fn heat(keys: &mut [KeyLoad], random: &mut StdRng) {
    let total: f64 = keys.iter().map(|(_, load)| load).sum::<f64>() / (1.0 - HOT_SHARE);
    let weights: Vec<f64> = (0..HOT_KEYS)
        .map(|rank| 2.0 - rank as f64 / (HOT_KEYS - 1) as f64)
        .collect();
    let sum: f64 = weights.iter().sum();
    for weight in weights {
        let at = random.random_range(0..keys.len());
        keys[at].1 += total * HOT_SHARE * weight / sum;
    }
}

impl Comparison {
    fn change(
        &mut self,
        change: &'static str,
        least_share: f64,
        sheet: &mut Sheet,
    ) -> Result<(), MeasureError> {
        let run = self.model.run(&self.keys, self.seconds);
        let active = self.model.active();
        let all = active.len();
        let modulo = Baseline::Modulo;
        let rendezvous = Baseline::Rendezvous;
        let names = self.model.names();
        let owners = [
            self.keys
                .iter()
                .map(|(key, _)| self.model.owner(*key))
                .collect(),
            self.keys
                .iter()
                .map(|(key, _)| modulo.owner(*key, &active, &names))
                .collect(),
            self.keys
                .iter()
                .map(|(key, _)| rendezvous.owner(*key, &active, &names))
                .collect(),
        ];
        for (index, strategy) in STRATEGIES.into_iter().enumerate() {
            let owners: &Vec<Option<usize>> = &owners[index];
            let before = &self.owners[index];
            let pairs = owners.iter().zip(before);
            let planner = index == 0;
            let result = PlacementResult {
                change,
                strategy,
                keys_max_over_mean: max_over_mean(owners, all, |_| 1.0),
                load_max_over_mean: max_over_mean(owners, all, |at| self.keys[at].1),
                keys_moved: pairs.filter(|(now, before)| now != before).count(),
                keys_least: (self.keys.len() as f64 * least_share).round() as usize,
                units_moved: planner.then_some(run.units_moved),
                units_least: planner.then_some((run.slices as f64 * least_share).round() as u64),
                settled_s: planner.then_some(run.settled_s),
            };
            sheet.add("placement", &result)?;
        }
        self.owners = owners;
        Ok(())
    }
}

fn max_over_mean(owners: &[Option<usize>], active: usize, amount: impl Fn(usize) -> f64) -> f64 {
    let last = owners.iter().flatten().max().copied().unwrap_or(0);
    let mut held = vec![0.0; last + 1];
    for (at, owner) in owners.iter().enumerate() {
        if let Some(owner) = owner {
            held[*owner] += amount(at);
        }
    }
    let mean = held.iter().sum::<f64>() / active.max(1) as f64;
    held.into_iter().fold(0.0, f64::max) / mean
}
