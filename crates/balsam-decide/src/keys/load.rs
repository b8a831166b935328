//! Request load of keys, measured by a sample of recent requests.

use balsam_types::{KeyRange, ShardKey, TimeMs};
use std::collections::VecDeque;

/// Length of the sliding window, in milliseconds.
///
/// Busy keys change within seconds, while a shorter window would react to random variation.
const WINDOW_MS: u64 = 2_000;

/// Maximum number of requests kept; beyond it, the oldest are dropped.
const SAMPLE_MAX: usize = 8_192;

/// The keys of recent requests to one service.
#[derive(Debug, Default)]
pub struct KeySamples {
    recent: VecDeque<(TimeMs, ShardKey)>,
}

impl KeySamples {
    /// Creates an empty sample.
    pub const fn new() -> Self {
        Self {
            recent: VecDeque::new(),
        }
    }

    /// Adds one request for each key.
    pub fn add(&mut self, now: TimeMs, keys: impl IntoIterator<Item = ShardKey>) {
        self.recent.extend(keys.into_iter().map(|key| (now, key)));
        let excess = self.recent.len().saturating_sub(SAMPLE_MAX);
        self.recent.drain(..excess);
    }

    /// Returns the keys of the window in ascending order, one entry for each request.
    pub fn sorted(&mut self, now: TimeMs) -> Vec<ShardKey> {
        while self
            .recent
            .front()
            .is_some_and(|(received_at, _)| now.since(*received_at) > WINDOW_MS)
        {
            self.recent.pop_front();
        }
        let mut keys: Vec<ShardKey> = self.recent.iter().map(|(_, key)| *key).collect();
        keys.sort_unstable();
        keys
    }
}

/// Returns the part of sorted `keys` that lies in `range`.
pub(super) fn keys_in(keys: &[ShardKey], range: KeyRange) -> &[ShardKey] {
    let start = keys.partition_point(|key| key.0 < range.first);
    let end = keys.partition_point(|key| key.0 <= range.last);
    &keys[start..end]
}
