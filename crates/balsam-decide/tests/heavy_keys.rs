//! Tests the sketch that finds the heaviest keys in bounded memory.

use balsam_decide::hotkeys::{HeavyHitters, SKETCH_COUNTERS};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use std::collections::BTreeMap;

/// Guards against hot keys that are missed among many cold ones.
#[rstest]
fn heavy_keys_are_found(#[values(1, 2, 3)] seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut sketch = HeavyHitters::new();
    for _ in 0..100_000 {
        // Fourteen hot keys get 4 % each; a million others share the rest.
        let hot = random.random_range(0..100_u64);
        let key = if hot < 56 {
            hot % 14
        } else {
            random.random_range(100..1_000_000)
        };
        sketch.add(key, 1.0);
    }
    let heaviest = sketch.heaviest();
    assert!(heaviest.len() <= SKETCH_COUNTERS);
    let mut found: Vec<u64> = heaviest.iter().take(14).map(|(key, _)| *key).collect();
    found.sort_unstable();
    assert_eq!(found, (0..14).collect::<Vec<u64>>());
}

/// Guards against old load that hides new load.
#[test]
fn decay_forgets_old_keys() {
    let mut sketch = HeavyHitters::new();
    sketch.add(1_u64, 1_000.0);
    for _ in 0..20 {
        sketch.decay(0.5);
        sketch.add(2, 1.0);
    }
    assert_eq!(sketch.heaviest()[0].0, 2);
    assert!(sketch.total() < 3.0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against cold keys that are reported as hot, which would be split off needlessly, and
    /// against missing a key that has more than a counter's share of the total.
    #[test]
    fn amounts_never_exceed_truth(stream in prop::collection::vec((0..300_u64, 1..20_u32), 1..2_000)) {
        let mut sketch = HeavyHitters::new();
        let mut truth: BTreeMap<u64, f64> = BTreeMap::new();
        for (key, amount) in stream {
            sketch.add(key, f64::from(amount));
            *truth.entry(key).or_default() += f64::from(amount);
        }
        let heaviest: BTreeMap<u64, f64> = sketch.heaviest().into_iter().collect();
        for (key, amount) in &heaviest {
            prop_assert!(*amount <= truth[key], "key {} is reported with {}", key, amount);
        }
        let share = sketch.total() / SKETCH_COUNTERS as f64;
        for (key, amount) in truth.iter().filter(|(_, amount)| **amount > 2.0 * share) {
            let reported = heaviest.get(key).copied().unwrap_or(0.0);
            prop_assert!(reported >= amount - share, "key {} has {} of {}", key, reported, amount);
        }
    }
}
