//! An estimate of how long a request of a rank holds its slot.

use balsam_types::TimeMs;

/// The weight of a new sample in the mean and the deviation.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The age after which an estimate no longer causes refusals, in milliseconds.
///
/// An estimate above every deadline would otherwise stay for ever: no request runs, so no sample
/// corrects it.
const ESTIMATE_TTL_MS: u64 = 1_000;

/// The number of mean deviations above the mean within which nearly all requests are served.
const UPPER_DEVIATIONS: f64 = 4.0;

/// The number of mean deviations below the mean before which hardly any request is served.
const LOWER_DEVIATIONS: f64 = 2.0;

/// An exponential moving average of service times, and of their deviation from it.
#[derive(Debug, Default)]
pub(super) struct ServiceTime {
    mean_ms: f64,
    deviation_ms: f64,
    last_sample: Option<TimeMs>,
}

impl ServiceTime {
    /// Adds the service time of one request to the estimate.
    pub fn record(&mut self, now: TimeMs, elapsed_ms: f64) {
        if self.last_sample.is_none() {
            self.mean_ms = elapsed_ms;
        }
        let difference = elapsed_ms - self.mean_ms;
        self.mean_ms += SAMPLE_WEIGHT * difference;
        self.deviation_ms += SAMPLE_WEIGHT * (difference.abs() - self.deviation_ms);
        self.last_sample = Some(now);
    }

    /// Returns the mean service time in milliseconds, at least one.
    pub const fn mean_ms(&self) -> f64 {
        self.mean_ms.max(1.0)
    }

    /// Returns the time within which nearly all requests are served, in milliseconds.
    ///
    /// A request that starts with less time left would probably waste its slot time. The result is
    /// at most the greater of the mean and half of the rank's deadline, because service times that
    /// vary widely would otherwise empty the queue.
    pub fn upper_estimate_ms(&self, now: TimeMs, running: u32, deadline_ms: u64) -> u64 {
        if self.is_stale(now, running) {
            return 0;
        }
        let max_ms = self.mean_ms.max(deadline_ms as f64 / 2.0);
        let upper_estimate_ms = self.mean_ms + UPPER_DEVIATIONS * self.deviation_ms;
        upper_estimate_ms.min(max_ms).round() as u64
    }

    /// Returns the time below which hardly any request is served, in milliseconds.
    pub fn lower_estimate_ms(&self, now: TimeMs, running: u32) -> u64 {
        if self.is_stale(now, running) {
            return 0;
        }
        let lower_estimate_ms = self.mean_ms - LOWER_DEVIATIONS * self.deviation_ms;
        lower_estimate_ms.max(0.0).round() as u64
    }

    fn is_stale(&self, now: TimeMs, running: u32) -> bool {
        let is_expired = |at| now.since(at) >= ESTIMATE_TTL_MS;
        running == 0 && self.last_sample.is_none_or(is_expired)
    }
}
