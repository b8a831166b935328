//! The state of the pace of one upstream.

use super::{PaceOutcome, PaceTerms, PaceVerdict};
use balsam_types::TimeMs;

/// The pace of one upstream, kept by whoever decides which requests are sent to it.
#[derive(Clone, Debug)]
pub struct Pace {
    terms: PaceTerms,
    in_flight: u32,
}

impl Pace {
    /// Creates the pace of an upstream that is not known to have started recently.
    pub const fn new(terms: PaceTerms) -> Self {
        Self {
            terms,
            in_flight: 0,
        }
    }

    /// Changes the terms, for example after a change of the configuration.
    pub const fn set_terms(&mut self, terms: PaceTerms) {
        self.terms = terms;
    }

    /// Records that the upstream is cold until a time. Requests are limited from now on.
    pub const fn set_cold_until(&mut self, _now: TimeMs, _until: TimeMs) {}

    /// Returns whether another request may be sent.
    pub const fn verdict(&self, _now: TimeMs) -> PaceVerdict {
        if self.in_flight < self.terms.slots {
            PaceVerdict::Now
        } else {
            PaceVerdict::Full
        }
    }

    /// Returns the number of requests that may be in flight at present.
    pub fn concurrency(&self) -> f64 {
        f64::from(self.terms.slots)
    }

    /// Returns the number of requests in flight.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Counts a request that is being sent.
    pub const fn record_sent(&mut self, _now: TimeMs) {
        self.in_flight += 1;
    }

    /// Records how a request has ended.
    pub const fn record_outcome(&mut self, _now: TimeMs, _outcome: PaceOutcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
