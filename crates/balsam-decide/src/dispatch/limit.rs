//! The adaptive limit on running requests.

use super::SlotResult;
use balsam_types::TimeMs;

/// The factor by which the limit falls when the upstream sheds.
const SHED_FACTOR: f64 = 0.7;

/// A limit that rises by one for each round of served requests and falls when the upstream sheds.
#[derive(Debug)]
pub(super) struct AdaptiveLimit {
    slots: u32,
    limit: f64,
    last_cut: Option<TimeMs>,
}

impl AdaptiveLimit {
    /// Makes a limit that starts at the configured slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            last_cut: None,
        }
    }

    /// Returns the requests that may run at once.
    pub const fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Changes the configured slots; a limit that is not reduced follows them.
    pub fn set_slots(&mut self, slots: u32) {
        let reduced = self.limit < f64::from(self.slots);
        let most = f64::from(slots);
        self.limit = if reduced { self.limit.min(most) } else { most };
        self.slots = slots;
    }

    /// Learns how a request ended that was sent at `started`.
    pub fn record(&mut self, now: TimeMs, started: TimeMs, result: SlotResult) {
        match result {
            SlotResult::Served => {
                let raised = self.limit + 1.0 / self.limit.max(1.0);
                self.limit = raised.min(f64::from(self.slots));
            }
            // Requests sent before the last cut say nothing about the limit after it.
            SlotResult::Shed if self.last_cut.is_none_or(|cut| started >= cut) => {
                let least = f64::from(self.slots.min(1));
                self.limit = (self.limit * SHED_FACTOR).max(least);
                self.last_cut = Some(now);
            }
            SlotResult::Shed | SlotResult::Failed => {}
        }
    }
}
