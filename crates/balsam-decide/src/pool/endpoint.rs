//! What one daemon knows of one upstream from the requests that it sent there.

use super::Verdict;
use balsam_types::{Born, TimeMs};

/// The share of the newest observation in a running mean.
const MEAN_SHARE: f64 = 0.2;

/// An answer that takes more than this part of its objective shows a queue at the upstream, in
/// percent.
const LATE_PERCENT: u64 = 80;

/// How a late answer changes the limit.
const LATE_FACTOR: f64 = 0.85;

/// How a refusal for lack of room changes the limit.
const SHED_FACTOR: f64 = 0.7;

/// How much an answer in time raises the limit, divided by the limit.
const RAISE: f64 = 0.15;

/// The least limit; below 1, requests are sent one at a time with pauses between them.
const LIMIT_MIN: f64 = 0.25;

/// The least pause after a failure to reach the upstream, in milliseconds; it doubles with each
/// further failure.
const PAUSE_MS: u64 = 100;

/// Doublings of the pause at most.
const PAUSE_DOUBLINGS_MAX: u32 = 4;

/// The pause after a refusal for lack of room, in milliseconds.
const SHED_PAUSE_MS: u64 = 30;

/// One upstream as a destination.
#[derive(Debug)]
pub(super) struct Lane {
    born: Born,
    in_flight: u32,
    limit: f64,
    limit_max: f64,
    /// The mean time of answers relative to other upstreams.
    slowness: f64,
    /// The mean time of answers in milliseconds.
    mean_ms: f64,
    failures: u32,
    paused_until: TimeMs,
}

impl Lane {
    /// Makes the lane of an upstream with `slots` that `daemons` send to.
    pub(super) fn new(born: Born, slots: u32, daemons: u32) -> Self {
        let fair = f64::from(slots) * 2.0 / f64::from(daemons.max(1));
        Self {
            born,
            in_flight: 0,
            limit: fair.max(1.0),
            limit_max: f64::from(slots).max(1.0),
            slowness: 1.0,
            mean_ms: 0.0,
            failures: 0,
            paused_until: TimeMs(0),
        }
    }

    /// Returns the life that the lane leads to.
    pub(super) const fn born(&self) -> Born {
        self.born
    }

    /// Returns whether a request may be sent now.
    pub(super) fn has_room(&self, now: TimeMs) -> bool {
        now >= self.paused_until && f64::from(self.in_flight) < self.limit.max(1.0)
    }

    /// Returns whether the upstream could not be reached lately.
    pub(super) fn is_failing(&self, now: TimeMs) -> bool {
        self.failures > 0 && now < self.paused_until
    }

    /// Returns how long a further request takes here, relative to an idle upstream.
    ///
    /// The limit does not count: it starts low, and an upstream that joined would get nothing.
    pub(super) fn cost(&self) -> f64 {
        f64::from(self.in_flight + 1) * self.slowness
    }

    /// Returns the mean time of answers in milliseconds.
    pub(super) const fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Notes a request that is sent.
    pub(super) const fn sent(&mut self) {
        self.in_flight += 1;
    }

    /// Notes how a request ended; `usual_ms` is the mean time of its route at all upstreams.
    pub(super) fn done(
        &mut self,
        now: TimeMs,
        verdict: Verdict,
        took_ms: u64,
        objective_ms: u64,
        usual_ms: f64,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match verdict {
            Verdict::Served | Verdict::Failed => {
                self.failures = 0;
                self.mean_ms = mean(self.mean_ms, took_ms as f64);
                if usual_ms > 0.0 {
                    let ratio = (took_ms as f64 / usual_ms).clamp(0.2, 8.0);
                    self.slowness = mean(self.slowness, ratio);
                }
                if took_ms * 100 > objective_ms * LATE_PERCENT {
                    self.lower(LATE_FACTOR);
                } else {
                    self.limit = (self.limit + RAISE / self.limit.max(1.0)).min(self.limit_max);
                }
                self.pace(now);
            }
            Verdict::Shed => {
                self.lower(SHED_FACTOR);
                self.paused_until = self.paused_until.max(now.after(SHED_PAUSE_MS));
            }
            Verdict::TimedOut => {
                self.lower(LATE_FACTOR);
                self.slowness = mean(self.slowness, 4.0);
                self.pace(now);
            }
            Verdict::Unreachable | Verdict::Replaced => {
                let doublings = self.failures.min(PAUSE_DOUBLINGS_MAX);
                self.failures += 1;
                self.paused_until = now.after(PAUSE_MS << doublings);
            }
            Verdict::Broken => {
                self.slowness = mean(self.slowness, 2.0);
            }
            Verdict::Reset => {
                self.slowness = mean(self.slowness, 2.0);
                self.lower(LATE_FACTOR);
                self.paused_until = self.paused_until.max(now.after(SHED_PAUSE_MS));
            }
            Verdict::NotHeld | Verdict::Dropped => {}
        }
    }

    fn lower(&mut self, factor: f64) {
        self.limit = (self.limit * factor).max(LIMIT_MIN);
    }

    /// Spaces requests out while less than one at a time is allowed.
    fn pace(&mut self, now: TimeMs) {
        if self.limit < 1.0 {
            let pause_ms = self.mean_ms * (1.0 / self.limit - 1.0);
            self.paused_until = self.paused_until.max(now.after(pause_ms as u64));
        }
    }
}

fn mean(former: f64, newest: f64) -> f64 {
    if former == 0.0 {
        newest
    } else {
        former.mul_add(1.0 - MEAN_SHARE, newest * MEAN_SHARE)
    }
}
