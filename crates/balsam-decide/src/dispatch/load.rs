//! Measurement of slot time by unit and key.

use super::LoadSample;
use crate::hotkeys::HeavyHitters;
use balsam_types::{KeyHash, TimeMs, UnitId};

/// The half-life of measured load, in milliseconds.
///
/// It spans several long requests, so that one download does not make its key hot. It is short
/// compared with the minutes within which the set of hot keys changes.
const HALF_LIFE_MS: f64 = 5_000.0;

/// Adds up slot time and converts it to exponentially decaying rates.
#[derive(Debug)]
pub(super) struct LoadMeter {
    units: HeavyHitters<UnitId>,
    keys: HeavyHitters<KeyHash>,
    /// The decayed observation time that the counts cover, in milliseconds.
    window_ms: f64,
    sampled_at: Option<TimeMs>,
}

impl LoadMeter {
    /// Creates an empty meter.
    pub fn new() -> Self {
        Self {
            units: HeavyHitters::new(),
            keys: HeavyHitters::new(),
            window_ms: 0.0,
            sampled_at: None,
        }
    }

    /// Adds slot time that a request has used since it was last counted.
    pub fn add(&mut self, now: TimeMs, unit: UnitId, key: KeyHash, slot_ms: u64) {
        self.sampled_at
            .get_or_insert(TimeMs(now.0 - slot_ms.min(now.0)));
        self.units.add(unit, slot_ms as f64);
        self.keys.add(key, slot_ms as f64);
    }

    /// Returns the current rates and decays the counts by the time since the last sample.
    pub fn sample(&mut self, now: TimeMs) -> LoadSample {
        let elapsed_ms = now.since(*self.sampled_at.get_or_insert(now)) as f64;
        self.sampled_at = Some(now);
        self.window_ms += elapsed_ms;
        if self.window_ms <= 0.0 {
            return LoadSample::default();
        }
        let per_second = 1_000.0 / self.window_ms;
        let sample = LoadSample {
            load: self.units.total() * per_second,
            heavy_units: scaled(self.units.heaviest(), per_second),
            heavy_keys: scaled(self.keys.heaviest(), per_second),
        };
        let factor = 0.5_f64.powf(elapsed_ms / HALF_LIFE_MS);
        self.window_ms *= factor;
        self.units.decay(factor);
        self.keys.decay(factor);
        sample
    }
}

fn scaled<K>(amounts: Vec<(K, f64)>, factor: f64) -> Vec<(K, f64)> {
    let scale = |(key, amount): (K, f64)| (key, amount * factor);
    amounts.into_iter().map(scale).collect()
}
