//! The mean response time of a route's requests.

/// Weight of the newest response once enough have arrived. Before, each of them counts the same, so
/// that the first one alone does not decide.
const EWMA_WEIGHT: f64 = 0.05;

/// The mean response time of a route's requests over all upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RouteLatency {
    mean_ms: f64,
    responses: u32,
}

impl RouteLatency {
    /// Records a response time.
    pub(super) fn record(&mut self, took_ms: u64) {
        self.responses = self.responses.saturating_add(1);
        let weight = EWMA_WEIGHT.max(1.0 / f64::from(self.responses));
        self.mean_ms += (took_ms as f64 - self.mean_ms) * weight;
    }

    /// Returns the mean in milliseconds, or 0 before the first response.
    pub(super) const fn mean_ms(&self) -> f64 {
        self.mean_ms
    }
}
