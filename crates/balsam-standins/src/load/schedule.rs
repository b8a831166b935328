//! The fixed schedule of arrivals.

use super::{KeyChoice, LoadPlan, LoadStream};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The largest number of requests of one run, as a bound on memory and time.
const ARRIVALS_MAX: usize = 5_000_000;

/// One scheduled request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When it is sent, in microseconds from the start of the run.
    pub at_us: u64,
    /// The index of its stream.
    pub stream: usize,
    /// The number of its key.
    pub key: u64,
}

/// Returns the arrivals of `plan` in the order of time, the same for the same seed.
///
/// The gaps between the arrivals of a stream are exponentially distributed, as for independent
/// callers.
pub fn arrivals(plan: &LoadPlan) -> Vec<Arrival> {
    let mut all: Vec<Arrival> = plan
        .streams
        .iter()
        .enumerate()
        .flat_map(|(index, stream)| stream_arrivals(plan.seed, index, stream))
        .collect();
    all.sort_by_key(|arrival| (arrival.at_us, arrival.stream));
    all.truncate(ARRIVALS_MAX);
    all
}

fn stream_arrivals(seed: u64, index: usize, stream: &LoadStream) -> Vec<Arrival> {
    // Streams draw from generators of their own, so that adding one leaves the others unchanged.
    let mut random = StdRng::seed_from_u64(seed.wrapping_add(index as u64));
    let mut arrivals = Vec::new();
    if stream.rate <= 0.0 {
        return arrivals;
    }
    let mean_gap_us = 1_000_000.0 / stream.rate;
    let mut at_us = stream.from_ms as f64 * 1_000.0;
    loop {
        let uniform: f64 = random.random();
        at_us -= (1.0 - uniform).ln() * mean_gap_us;
        if at_us >= stream.until_ms as f64 * 1_000.0 || arrivals.len() >= ARRIVALS_MAX {
            return arrivals;
        }
        let at_us = at_us as u64;
        arrivals.push(Arrival {
            at_us,
            stream: index,
            key: draw_key(&mut random, &stream.keys, at_us / 1_000),
        });
    }
}

fn draw_key(random: &mut StdRng, choice: &KeyChoice, at_ms: u64) -> u64 {
    let keys = choice.keys.max(1);
    let hot = choice.hot_keys > 0 && random.random_range(0..100) < choice.hot_percent;
    if !hot {
        return random.random_range(0..keys);
    }
    let changes = at_ms.checked_div(choice.hot_change_ms).unwrap_or(0);
    let first = changes * choice.hot_keys;
    (first + random.random_range(0..choice.hot_keys)) % keys
}
