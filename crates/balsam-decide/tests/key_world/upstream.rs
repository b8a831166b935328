//! An upstream that checks fencing tokens, simulated for a few keys.

use balsam_decide::keys::{Order, OrderKind, OrderResult};
use balsam_types::{ShardKey, TimeMs};

/// The keys that are simulated and checked.
pub const KEYS: [u16; 6] = [0, 9_000, 22_000, 35_000, 48_000, 65_535];

/// How much slower than real time an upstream's clock runs, in percent.
const CLOCK_DRIFT_PERCENT: u64 = 2;

#[derive(Clone, Debug)]
pub struct Upstream {
    pub born: u64,
    pub is_up: bool,
    pub down_at: TimeMs,
    /// Whether the list of upstreams that daemons receive contains it while it is up.
    pub is_listed: bool,
    pub is_draining: bool,
    highest_fences: [u64; KEYS.len()],
    held_until: [TimeMs; KEYS.len()],
    /// When the work ends that was in progress when a key was released.
    working_until: [TimeMs; KEYS.len()],
    /// How much slower its clock runs beyond the permitted drift, in percent.
    pub extra_drift_percent: u64,
}

impl Upstream {
    pub const fn new(born: u64) -> Self {
        Self {
            born,
            is_up: true,
            down_at: TimeMs(0),
            is_listed: true,
            is_draining: false,
            highest_fences: [0; KEYS.len()],
            held_until: [TimeMs(0); KEYS.len()],
            working_until: [TimeMs(0); KEYS.len()],
            extra_drift_percent: 0,
        }
    }

    /// Restarts the upstream without its state.
    pub const fn restart(&mut self, born: u64) {
        self.born = born;
        self.is_up = true;
        self.is_draining = false;
        self.highest_fences = [0; KEYS.len()];
        self.held_until = [TimeMs(0); KEYS.len()];
        self.working_until = [TimeMs(0); KEYS.len()];
    }

    /// Returns whether it holds a key or still works on one that it has released.
    pub fn holds(&self, index: usize, now: TimeMs) -> bool {
        self.is_up && now < self.held_until[index].max(self.working_until[index])
    }

    /// Executes an order that arrived at `arrived_at`. If `keeps_tokens` is false, it forgets the
    /// fencing tokens of releases. Work on released keys goes on for `work_ms`, or until the grant
    /// would have expired.
    pub fn apply(
        &mut self,
        arrived_at: TimeMs,
        order: &Order,
        keeps_tokens: bool,
        work_ms: u64,
    ) -> OrderResult {
        let keys = (0..KEYS.len()).filter(|index| order.range.contains(ShardKey(KEYS[*index])));
        let keys: Vec<usize> = keys.collect();
        match &order.kind {
            OrderKind::Grant { hold_ms, .. } => {
                if keys
                    .iter()
                    .any(|index| order.fence.0 < self.highest_fences[*index])
                {
                    return OrderResult::Fenced;
                }
                let drift_percent = CLOCK_DRIFT_PERCENT + self.extra_drift_percent;
                for index in keys {
                    self.highest_fences[index] = order.fence.0;
                    self.held_until[index] =
                        arrived_at.after(hold_ms + hold_ms * drift_percent / 100);
                }
                OrderResult::Granted
            }
            OrderKind::Release => {
                for index in keys {
                    if keeps_tokens {
                        self.highest_fences[index] = self.highest_fences[index].max(order.fence.0);
                    }
                    self.working_until[index] =
                        self.held_until[index].min(arrived_at.after(work_ms));
                    self.held_until[index] = TimeMs(0);
                }
                OrderResult::Released { handover: None }
            }
        }
    }
}
