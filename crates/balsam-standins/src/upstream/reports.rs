//! Health and load reports that lag behind.

use balsam_types::TimeMs;
use balsam_wire::upstream::HealthState;
use std::collections::VecDeque;

/// The number of past states that are kept; at the limit the reports lag less than wanted.
const HISTORY: usize = 10_000;

/// The past states that a report can show.
#[derive(Debug)]
pub struct Reports {
    history: VecDeque<(TimeMs, HealthState, u32)>,
}

impl Reports {
    /// Makes the history of an upstream that starts now.
    pub fn new(now: TimeMs) -> Self {
        Self {
            history: VecDeque::from([(now, HealthState::Starting, 0)]),
        }
    }

    /// Notes the state at `now`.
    pub fn note(&mut self, now: TimeMs, state: HealthState, running: u32) {
        if self.history.len() >= HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((now, state, running));
    }

    /// Returns the state as it was `lag_ms` ago.
    pub fn report(&self, now: TimeMs, lag_ms: u64) -> (HealthState, u32) {
        let wanted = TimeMs(now.0.saturating_sub(lag_ms));
        let past = self.history.partition_point(|(at, ..)| *at <= wanted);
        self.history
            .get(past.saturating_sub(1))
            .map_or((HealthState::Starting, 0), |(_, state, running)| {
                (*state, *running)
            })
    }
}
