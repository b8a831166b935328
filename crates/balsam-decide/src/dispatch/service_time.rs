//! The estimate of how long a request of a rank holds its slot.

use balsam_types::TimeMs;

/// The weight of a new sample in the mean and the deviation.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The age after which an estimate no longer refuses requests, in milliseconds.
///
/// An estimate above every deadline would otherwise keep itself alive: nothing runs, so nothing
/// corrects it.
const ESTIMATE_TTL_MS: u64 = 1_000;

/// Mean deviations above the mean within which nearly all requests are served.
const LIKELY_DEVIATIONS: f64 = 4.0;

/// Mean deviations below the mean before which hardly any request is served.
const LEAST_DEVIATIONS: f64 = 2.0;

/// A moving mean of service times with their mean deviation.
#[derive(Debug, Default)]
pub(super) struct ServiceTime {
    mean_ms: f64,
    deviation_ms: f64,
    last_sample: Option<TimeMs>,
}

impl ServiceTime {
    /// Learns the service time of one request.
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
    /// A request that waited until less is left would probably waste its slot time. The margin over
    /// the mean is bounded by half of the rank's deadline, because service times that vary widely
    /// would otherwise empty the queue.
    pub fn likely_ms(&self, now: TimeMs, running: u32, deadline_ms: u64) -> u64 {
        if self.is_stale(now, running) {
            return 0;
        }
        let most_ms = self.mean_ms.max(deadline_ms as f64 / 2.0);
        let likely_ms = self.mean_ms + LIKELY_DEVIATIONS * self.deviation_ms;
        likely_ms.min(most_ms).round() as u64
    }

    /// Returns the time below which hardly any request is served, in milliseconds.
    pub fn least_ms(&self, now: TimeMs, running: u32) -> u64 {
        if self.is_stale(now, running) {
            return 0;
        }
        let least_ms = self.mean_ms - LEAST_DEVIATIONS * self.deviation_ms;
        least_ms.max(0.0).round() as u64
    }

    fn is_stale(&self, now: TimeMs, running: u32) -> bool {
        let is_old = |at| now.since(at) >= ESTIMATE_TTL_MS;
        running == 0 && self.last_sample.is_none_or(is_old)
    }
}
