//! The estimate of how long a request of a rank holds its slot.

use balsam_types::TimeMs;

/// The weight of a new sample in the mean and the deviation.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The age after which an estimate no longer refuses requests, in milliseconds.
///
/// An estimate above every deadline would otherwise keep itself alive: nothing runs, so nothing
/// corrects it.
const ESTIMATE_TTL_MS: u64 = 1_000;

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

    /// Returns the time that a request needs to be served in all likelihood, in milliseconds.
    ///
    /// The deviation is included because a request that starts too late wastes its whole slot time.
    pub fn needed_ms(&self, now: TimeMs, running: u32) -> u64 {
        let stale = self
            .last_sample
            .is_none_or(|at| now.since(at) >= ESTIMATE_TTL_MS);
        if stale && running == 0 {
            return 0;
        }
        (self.mean_ms + self.deviation_ms).round() as u64
    }
}
