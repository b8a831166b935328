//! An upstream that checks tokens, seen at a few keys.

use balsam_decide::keys::{Order, OrderKind, OrderResult};
use balsam_types::{ShardKey, TimeMs};

/// The keys that are looked at.
pub const KEYS: [u16; 6] = [0, 9_000, 22_000, 35_000, 48_000, 65_535];

/// How much slower than true time an upstream's clock may run, in percent.
const SLOW_PERCENT: u64 = 2;

#[derive(Clone, Debug)]
pub struct Upstream {
    pub born: u64,
    pub is_up: bool,
    pub down_at: TimeMs,
    /// Whether the platform lists it.
    pub is_listed: bool,
    pub is_draining: bool,
    seen: [u64; KEYS.len()],
    held_until: [TimeMs; KEYS.len()],
    /// How much slower its clock runs beyond what is allowed, in percent.
    pub slower_percent: u64,
}

impl Upstream {
    pub const fn new(born: u64) -> Self {
        Self {
            born,
            is_up: true,
            down_at: TimeMs(0),
            is_listed: true,
            is_draining: false,
            seen: [0; KEYS.len()],
            held_until: [TimeMs(0); KEYS.len()],
            slower_percent: 0,
        }
    }

    /// Starts again without any memory.
    pub const fn restart(&mut self, born: u64) {
        self.born = born;
        self.is_up = true;
        self.is_draining = false;
        self.seen = [0; KEYS.len()];
        self.held_until = [TimeMs(0); KEYS.len()];
    }

    pub fn holds(&self, at: usize, now: TimeMs) -> bool {
        self.is_up && now < self.held_until[at]
    }

    /// Carries out an order that arrived at a time; as a flaw, it forgets the tokens of releases.
    pub fn apply(&mut self, arrived_at: TimeMs, order: &Order, keeps_tokens: bool) -> OrderResult {
        let keys = (0..KEYS.len()).filter(|at| order.range.contains(ShardKey(KEYS[*at])));
        let keys: Vec<usize> = keys.collect();
        match &order.kind {
            OrderKind::Grant { hold_ms, .. } => {
                if keys.iter().any(|at| order.fence.0 < self.seen[*at]) {
                    return OrderResult::Fenced;
                }
                let slow = SLOW_PERCENT + self.slower_percent;
                for at in keys {
                    self.seen[at] = order.fence.0;
                    self.held_until[at] = arrived_at.after(hold_ms + hold_ms * slow / 100);
                }
                OrderResult::Granted
            }
            OrderKind::Release => {
                for at in keys {
                    if keeps_tokens {
                        self.seen[at] = self.seen[at].max(order.fence.0);
                    }
                    self.held_until[at] = TimeMs(0);
                }
                OrderResult::Released { handover: None }
            }
        }
    }
}
