//! Spacing of the starts of requests at a cold upstream.

use balsam_types::TimeMs;

/// Spaces starts by a mean interval, and allows two at once after a time without any.
///
/// This is the generic cell rate algorithm. Times are kept in microseconds, because the interval is
/// not a whole number of milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StartSpacing {
    /// When the next start is due if all starts are one interval apart.
    due_us: u64,
}

impl StartSpacing {
    /// Returns the earliest time of the next start.
    pub(super) const fn next_at(self, interval_us: u64) -> TimeMs {
        TimeMs(self.due_us.saturating_sub(interval_us).div_ceil(1_000))
    }

    /// Counts a start.
    pub(super) fn record_start(&mut self, now: TimeMs, interval_us: u64) {
        self.due_us = self.due_us.max(to_us(now)).saturating_add(interval_us);
    }

    /// Drops what has built up without starts, so that one may follow at `now` but not two.
    pub(super) fn end_idle_time(&mut self, now: TimeMs, interval_us: u64) {
        self.due_us = self.due_us.max(to_us(now).saturating_add(interval_us));
    }
}

const fn to_us(time: TimeMs) -> u64 {
    time.0.saturating_mul(1_000)
}
