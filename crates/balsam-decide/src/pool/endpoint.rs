//! State of one upstream as seen by this daemon: concurrency limit, latency and back-off.

use super::Verdict;
use balsam_types::{StartTime, TimeMs};

/// Weight of the newest observation in a moving average.
const EWMA_WEIGHT: f64 = 0.2;

/// A response that takes more than this part of its latency objective, in percent, indicates a
/// queue at the upstream.
const LATE_PERCENT: u64 = 80;

/// Factor applied to the concurrency limit after a late response.
const LATE_LIMIT_FACTOR: f64 = 0.85;

/// Factor applied to the concurrency limit after the upstream has shed a request.
const SHED_LIMIT_FACTOR: f64 = 0.7;

/// Increase of the concurrency limit after a response in time; it is divided by the current limit.
const LIMIT_INCREASE: f64 = 0.15;

/// Lower bound of the concurrency limit. Below 1, requests are sent one at a time with pauses between
/// them.
const LIMIT_MIN: f64 = 0.25;

/// Back-off after the first failure to connect, in milliseconds; it doubles with each further
/// failure.
const BACKOFF_MIN_MS: u64 = 100;

/// Maximum number of times that the back-off doubles.
const BACKOFF_DOUBLINGS_MAX: u32 = 4;

/// Back-off after the upstream has shed a request or reset a connection, in milliseconds.
const SHED_BACKOFF_MS: u64 = 30;

/// How long an upstream that has reset a connection is expected to reset others, in milliseconds. A
/// queue at its connection limit takes about this time to clear.
const RESETS_EXPECTED_MS: u64 = 2_000;

/// One upstream as a destination for requests.
#[derive(Debug)]
pub(super) struct Endpoint {
    born: StartTime,
    in_flight: u32,
    /// Number of requests that may be in flight, adjusted after each outcome.
    limit: f64,
    limit_max: f64,
    /// Moving average of the response times, relative to the mean of their routes.
    relative_latency: f64,
    /// Moving average of the response times, in milliseconds.
    mean_latency_ms: f64,
    connect_failures: u32,
    backoff_until: TimeMs,
    /// Until when the upstream is expected to reset new connections.
    resets_until: TimeMs,
    /// When a request was last sent without a permit.
    last_unpermitted: Option<TimeMs>,
}

impl Endpoint {
    /// Creates the state of an upstream with `slots` to which `daemons` send requests.
    pub(super) fn new(born: StartTime, slots: u32, daemons: u32) -> Self {
        let fair_limit = f64::from(slots) * 2.0 / f64::from(daemons.max(1));
        Self {
            born,
            in_flight: 0,
            limit: fair_limit.max(1.0),
            limit_max: f64::from(slots).max(1.0),
            relative_latency: 1.0,
            mean_latency_ms: 0.0,
            connect_failures: 0,
            backoff_until: TimeMs(0),
            resets_until: TimeMs(0),
            last_unpermitted: None,
        }
    }

    /// Returns the start time of the incarnation of the upstream that this state belongs to.
    pub(super) const fn born(&self) -> StartTime {
        self.born
    }

    /// Returns whether a request may be sent now.
    pub(super) fn has_room(&self, now: TimeMs) -> bool {
        now >= self.backoff_until && f64::from(self.in_flight) < self.limit.max(1.0)
    }

    /// Returns whether the upstream has reset connections a short time ago.
    pub(super) fn resets_connections(&self, now: TimeMs) -> bool {
        now < self.resets_until
    }

    /// Returns whether the upstream could not be reached and its back-off has not passed.
    pub(super) fn is_backing_off(&self, now: TimeMs) -> bool {
        self.connect_failures > 0 && now < self.backoff_until
    }

    /// Lowers the concurrency limit to one request, from which it rises with responses in time, so
    /// that requests return gradually after a pause.
    pub(super) const fn restart_limit(&mut self) {
        self.limit = self.limit.min(1.0);
    }

    /// Returns the expected response time of another request, relative to that of an idle upstream
    /// with the mean latency of the route.
    ///
    /// The concurrency limit is left out on purpose: it starts low, so an upstream that joined
    /// would get no requests.
    pub(super) fn cost(&self) -> f64 {
        f64::from(self.in_flight + 1) * self.relative_latency
    }

    /// Returns the moving average of the response times, in milliseconds.
    pub(super) const fn mean_latency_ms(&self) -> f64 {
        self.mean_latency_ms
    }

    /// Returns when a request was last sent without a permit.
    pub(super) const fn last_unpermitted(&self) -> Option<TimeMs> {
        self.last_unpermitted
    }

    /// Counts a request that is being sent, with the permit of a keeper or without.
    pub(super) const fn record_sent(&mut self, now: TimeMs, has_permit: bool) {
        self.in_flight += 1;
        if !has_permit {
            self.last_unpermitted = Some(now);
        }
    }

    /// Records the outcome of a request; `route_latency_ms` is the mean latency of its route over
    /// all upstreams, or 0 if it is not known.
    pub(super) fn record_outcome(
        &mut self,
        now: TimeMs,
        verdict: Verdict,
        took_ms: u64,
        objective_ms: u64,
        route_latency_ms: f64,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match verdict {
            Verdict::Served | Verdict::Failed => {
                self.connect_failures = 0;
                self.mean_latency_ms = ewma(self.mean_latency_ms, took_ms as f64);
                if route_latency_ms > 0.0 {
                    let ratio = (took_ms as f64 / route_latency_ms).clamp(0.2, 8.0);
                    self.relative_latency = ewma(self.relative_latency, ratio);
                }
                if took_ms * 100 > objective_ms * LATE_PERCENT {
                    self.decrease_limit(LATE_LIMIT_FACTOR);
                } else {
                    self.limit =
                        (self.limit + LIMIT_INCREASE / self.limit.max(1.0)).min(self.limit_max);
                }
                self.pace(now);
            }
            Verdict::Shed => {
                self.decrease_limit(SHED_LIMIT_FACTOR);
                self.backoff_until = self.backoff_until.max(now.after(SHED_BACKOFF_MS));
            }
            Verdict::TimedOut => {
                self.decrease_limit(LATE_LIMIT_FACTOR);
                self.relative_latency = ewma(self.relative_latency, 4.0);
                self.pace(now);
            }
            Verdict::Unreachable | Verdict::Replaced => {
                let doublings = self.connect_failures.min(BACKOFF_DOUBLINGS_MAX);
                self.connect_failures += 1;
                self.backoff_until = now.after(BACKOFF_MIN_MS << doublings);
            }
            Verdict::Broken => {
                self.relative_latency = ewma(self.relative_latency, 2.0);
            }
            Verdict::Reset | Verdict::Surplus => {
                self.resets_until = now.after(RESETS_EXPECTED_MS);
                self.relative_latency = ewma(self.relative_latency, 2.0);
                self.decrease_limit(LATE_LIMIT_FACTOR);
                self.backoff_until = self.backoff_until.max(now.after(SHED_BACKOFF_MS));
            }
            Verdict::NotHeld | Verdict::Dropped | Verdict::Withdrawn => {}
        }
    }

    fn decrease_limit(&mut self, factor: f64) {
        self.limit = (self.limit * factor).max(LIMIT_MIN);
    }

    /// Adds a pause between requests while the concurrency limit is below 1.
    fn pace(&mut self, now: TimeMs) {
        if self.limit < 1.0 {
            let backoff_ms = self.mean_latency_ms * (1.0 / self.limit - 1.0);
            self.backoff_until = self.backoff_until.max(now.after(backoff_ms as u64));
        }
    }
}

/// Returns an exponentially weighted moving average, which starts with the first value.
fn ewma(previous: f64, newest: f64) -> f64 {
    if previous == 0.0 {
        newest
    } else {
        previous.mul_add(1.0 - EWMA_WEIGHT, newest * EWMA_WEIGHT)
    }
}
