//! The store's clock as a daemon knows it.

use balsam_types::TimeMs;
use serde::{Deserialize, Serialize};

/// Resolution of the times that the store reports, in milliseconds.
const RESOLUTION_MS: u64 = 10;

/// The inverse of the greatest difference in rate between the clocks of the daemon and the store.
const DRIFT_DIVISOR: u64 = 1_000;

/// Age of a sample after which another one is needed, in milliseconds. The drift until then is
/// small against the age that tables may have.
const SAMPLE_MAX_AGE_MS: u64 = 30_000;

/// Interval between two requests for a sample, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 1_000;

/// A point in time on the store's clock, in milliseconds.
///
/// The store's clock is the only one that all daemons can read, so times that they send each other
/// are on it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreTimeMs(pub u64);

impl StoreTimeMs {
    /// Adds `delay_ms` milliseconds, saturating at the maximum value.
    #[must_use]
    pub const fn after(self, delay_ms: u64) -> Self {
        Self(self.0.saturating_add(delay_ms))
    }

    /// Returns the milliseconds elapsed from `earlier` to `self`, or `None` if `earlier` is later.
    pub const fn checked_since(self, earlier: Self) -> Option<u64> {
        self.0.checked_sub(earlier.0)
    }
}

/// A time of the store's clock that was reached after the daemon had asked for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ClockSample {
    /// When the daemon asked.
    asked_at: TimeMs,
    store_now: StoreTimeMs,
}

impl ClockSample {
    const fn latest(self, now: TimeMs) -> StoreTimeMs {
        let elapsed_ms = now.since(self.asked_at);
        let drift_ms = elapsed_ms / DRIFT_DIVISOR;
        self.store_now.after(elapsed_ms + drift_ms + RESOLUTION_MS)
    }
}

/// An upper bound on the present time of the store's clock.
///
/// A response cannot show a later time than that of its arrival, so the time since the daemon asked
/// bounds how far the store's clock has advanced. However long a message with a time of the store
/// has waited on its way, the bound shows how old it may be.
///
/// See [the platform page](../../../../docs/platform.md#age-of-the-tables).
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    sample: Option<ClockSample>,
    requested_at: Option<TimeMs>,
}

impl StoreClock {
    /// Records that the store's clock had not passed `store_now` when a response to a call of
    /// `asked_at` was sent.
    pub fn record(&mut self, now: TimeMs, asked_at: TimeMs, store_now: StoreTimeMs) {
        let sample = ClockSample {
            asked_at,
            store_now,
        };
        let is_needed = self.latest(now).is_none_or(|latest| {
            let has_restarted = store_now > latest;
            has_restarted || sample.latest(now) < latest
        });
        if is_needed {
            self.sample = Some(sample);
        }
    }

    /// Returns the latest time that the store's clock can show at `now`, or `None` before the first
    /// sample.
    pub fn latest(&self, now: TimeMs) -> Option<StoreTimeMs> {
        self.sample.map(|sample| sample.latest(now))
    }

    /// Returns the greatest time that can have passed since the store's clock showed `time`, in
    /// milliseconds.
    ///
    /// Returns `None` if it is not known, or if the store's clock has not reached `time` yet, which
    /// shows that it was restarted.
    pub fn age_ms(&self, now: TimeMs, time: StoreTimeMs) -> Option<u64> {
        self.latest(now)?.checked_since(time)
    }

    /// Returns whether the daemon should ask for a sample now, and records that it does.
    pub fn take_request(&mut self, now: TimeMs) -> bool {
        let is_recent = |at: TimeMs, max_ms| now.since(at) < max_ms;
        let has_sample = self
            .sample
            .is_some_and(|sample| is_recent(sample.asked_at, SAMPLE_MAX_AGE_MS));
        let was_requested = self
            .requested_at
            .is_some_and(|at| is_recent(at, REQUEST_INTERVAL_MS));
        let is_due = !has_sample && !was_requested;
        if is_due {
            self.requested_at = Some(now);
        }
        is_due
    }
}
