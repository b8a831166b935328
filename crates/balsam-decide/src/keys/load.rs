//! How busy keys are, from a sample of requests.

use balsam_types::{KeyRange, ShardKey, TimeMs};
use std::collections::VecDeque;

/// How far back requests count, in milliseconds.
///
/// Busy keys change within seconds; a shorter window would follow chance.
const WINDOW_MS: u64 = 2_000;

/// Requests that are kept; beyond them the oldest are forgotten.
const SAMPLE_MAX: usize = 8_192;

/// The keys of recent requests.
#[derive(Debug, Default)]
pub struct KeySamples {
    recent: VecDeque<(TimeMs, ShardKey)>,
}

impl KeySamples {
    /// Makes a sample of nothing.
    pub const fn new() -> Self {
        Self {
            recent: VecDeque::new(),
        }
    }

    /// Adds requests.
    pub fn add(&mut self, now: TimeMs, keys: impl IntoIterator<Item = ShardKey>) {
        self.recent.extend(keys.into_iter().map(|key| (now, key)));
        let excess = self.recent.len().saturating_sub(SAMPLE_MAX);
        self.recent.drain(..excess);
    }

    /// Returns the keys of the window in order, one for each request.
    pub fn sorted(&mut self, now: TimeMs) -> Vec<ShardKey> {
        while self
            .recent
            .front()
            .is_some_and(|(at, _)| now.since(*at) > WINDOW_MS)
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
