//! One daemon's share of the retry budget, counted in a sliding window.

use balsam_types::{Map, ServiceName, TimeMs, new_map};
use std::collections::VecDeque;

/// Number of buckets of the window. The oldest bucket counts in full, although the window covers
/// only a part of it.
const WINDOW_BUCKETS: u64 = 20;

/// Part of the budget that is used, in percent. The rest is a reserve for the time in which the
/// number of daemons changes and some daemons do not know it yet.
const USED_PERCENT: u64 = 80;

/// The retry budget of one service for the whole deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetTerms {
    /// Retries allowed for each request of a caller.
    pub ratio: f64,
    /// The length of the window in milliseconds.
    pub window_ms: u64,
    /// Retries that are always allowed in one window, by all daemons together.
    pub slack: f64,
    /// Number of daemons that share the slack.
    pub daemons: u32,
}

/// The counts of one part of the window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// The start of the part, as a multiple of its length.
    index: u64,
    requests: u32,
    retries: u32,
}

/// Counts requests and retries by service.
#[derive(Debug)]
pub struct Budget {
    terms: BudgetTerms,
    services: Map<ServiceName, VecDeque<Bucket>>,
}

impl Budget {
    /// Creates a budget without any requests.
    pub fn new(terms: BudgetTerms) -> Self {
        Self {
            terms,
            services: new_map(),
        }
    }

    /// Sets the number of daemons that share the slack.
    pub fn set_daemons(&mut self, daemons: u32) {
        self.terms.daemons = daemons.max(1);
    }

    /// Sets the terms except for the number of daemons, which stays as it was last set.
    pub fn set_terms(&mut self, terms: BudgetTerms) {
        let daemons = self.terms.daemons;
        self.terms = BudgetTerms { daemons, ..terms };
    }

    /// Counts a caller's request, not its retries.
    pub fn count_request(&mut self, now: TimeMs, service: &ServiceName) {
        self.bucket(now, service).requests += 1;
    }

    /// Counts a retry if the budget allows it, and returns whether it does.
    pub fn take(&mut self, now: TimeMs, service: &ServiceName) -> bool {
        if self.left(now, service) < 1.0 {
            return false;
        }
        self.bucket(now, service).retries += 1;
        true
    }

    /// Returns the number of retries left in the window. It is negative if the budget has shrunk
    /// below the retries already counted, because requests left the window or the terms changed.
    pub fn left(&mut self, now: TimeMs, service: &ServiceName) -> f64 {
        self.bucket(now, service);
        let buckets = self.services.get(service);
        let (requests, retries) = buckets.map_or((0, 0), |buckets| {
            buckets.iter().fold((0, 0), |(requests, retries), bucket| {
                (requests + bucket.requests, retries + bucket.retries)
            })
        });
        let slack = self.terms.slack / f64::from(self.terms.daemons.max(1));
        let allowed = f64::from(requests).mul_add(self.terms.ratio, slack);
        allowed * USED_PERCENT as f64 / 100.0 - f64::from(retries)
    }

    /// Returns the number of retries left in the window, by service.
    pub fn all_left(&mut self, now: TimeMs) -> Vec<(ServiceName, f64)> {
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        let left = services.into_iter().map(|service| {
            let left = self.left(now, &service);
            (service, left)
        });
        left.collect()
    }

    /// Returns the current bucket of a service, and drops buckets that have left the window.
    fn bucket(&mut self, now: TimeMs, service: &ServiceName) -> &mut Bucket {
        let length_ms = (self.terms.window_ms / WINDOW_BUCKETS).max(1);
        let index = now.0 / length_ms;
        let buckets = self.services.entry(service.clone()).or_default();
        while buckets
            .front()
            .is_some_and(|bucket| bucket.index + WINDOW_BUCKETS < index)
        {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|bucket| bucket.index < index) {
            buckets.push_back(Bucket {
                index,
                requests: 0,
                retries: 0,
            });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
