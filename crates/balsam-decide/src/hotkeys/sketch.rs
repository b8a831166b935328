//! The Space-Saving sketch for heavy hitters.

/// Number of counters in a sketch. A key with more than 1/64 of the total always has a counter.
pub const SKETCH_COUNTERS: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Counter<K> {
    key: K,
    amount: f64,
    /// The part of `amount` that may belong to keys that used the counter before.
    error: f64,
}

/// Finds the heaviest keys of a stream in bounded memory.
#[derive(Clone, Debug)]
pub struct HeavyHitters<K> {
    counters: Vec<Counter<K>>,
    total: f64,
}

impl<K: Copy + Ord> HeavyHitters<K> {
    /// Creates an empty sketch.
    pub fn new() -> Self {
        Self {
            counters: Vec::with_capacity(SKETCH_COUNTERS),
            total: 0.0,
        }
    }

    /// Adds `amount` to the counter of `key`. If the key has no counter and none is free, it takes
    /// over the counter with the smallest amount.
    pub fn add(&mut self, key: K, amount: f64) {
        self.total += amount;
        if let Some(counter) = self.counters.iter_mut().find(|counter| counter.key == key) {
            counter.amount += amount;
            return;
        }
        if self.counters.len() < SKETCH_COUNTERS {
            self.counters.push(Counter {
                key,
                amount,
                error: 0.0,
            });
            return;
        }
        let by_amount = |a: &&mut Counter<K>, b: &&mut Counter<K>| a.amount.total_cmp(&b.amount);
        if let Some(lightest) = self.counters.iter_mut().min_by(by_amount) {
            lightest.key = key;
            lightest.error = lightest.amount;
            lightest.amount += amount;
        }
    }

    /// Multiplies all amounts by `factor`, so that old load counts less than new load.
    pub fn decay(&mut self, factor: f64) {
        self.total *= factor;
        for counter in &mut self.counters {
            counter.amount *= factor;
            counter.error *= factor;
        }
    }

    /// Returns the sum of all amounts.
    pub const fn total(&self) -> f64 {
        self.total
    }

    /// Returns the keys with a lower bound of their amounts, heaviest first.
    pub fn heaviest(&self) -> Vec<(K, f64)> {
        let certain = |counter: &Counter<K>| (counter.key, counter.amount - counter.error);
        let mut heaviest: Vec<(K, f64)> = self.counters.iter().map(certain).collect();
        heaviest.retain(|(_, amount)| *amount > 0.0);
        heaviest.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        heaviest
    }
}

impl<K: Copy + Ord> Default for HeavyHitters<K> {
    fn default() -> Self {
        Self::new()
    }
}
