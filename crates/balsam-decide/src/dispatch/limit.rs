//! The adaptive limit on running requests.

use super::SlotResult;
use balsam_types::TimeMs;

/// The factor by which the limit falls when the upstream sheds load.
const SHED_FACTOR: f64 = 0.7;

/// A limit that grows by one for each round of served requests and shrinks by a factor when the
/// upstream sheds load (additive increase, multiplicative decrease).
#[derive(Debug)]
pub(super) struct AdaptiveLimit {
    slots: u32,
    limit: f64,
    last_decrease: Option<TimeMs>,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at the configured slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            last_decrease: None,
        }
    }

    /// Returns the number of requests that may run at once.
    pub const fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Changes the configured slots; a limit that is not reduced is set to them.
    pub fn set_slots(&mut self, slots: u32) {
        let reduced = self.limit < f64::from(self.slots);
        let maximum = f64::from(slots);
        self.limit = if reduced {
            self.limit.min(maximum)
        } else {
            maximum
        };
        self.slots = slots;
    }

    /// Adjusts the limit to the result of a request that was sent at `started`.
    pub fn record(&mut self, now: TimeMs, started: TimeMs, result: SlotResult) {
        match result {
            SlotResult::Served => {
                let increased = self.limit + 1.0 / self.limit.max(1.0);
                self.limit = increased.min(f64::from(self.slots));
            }
            // Requests sent before the last decrease were sent under the old limit.
            SlotResult::Shed
                if self
                    .last_decrease
                    .is_none_or(|decreased_at| started >= decreased_at) =>
            {
                let minimum = f64::from(self.slots.min(1));
                self.limit = (self.limit * SHED_FACTOR).max(minimum);
                self.last_decrease = Some(now);
            }
            SlotResult::Shed | SlotResult::Failed => {}
        }
    }
}
