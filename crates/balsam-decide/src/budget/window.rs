//! One daemon's share of the budget in a sliding window.

use balsam_types::{Map, ServiceName, TimeMs, new_map};
use std::collections::VecDeque;

/// Parts into which the window is divided; the oldest part is still counted whole.
const WINDOW_PARTS: u64 = 20;

/// The share of the budget that is used, in percent; the rest covers daemons whose number changes.
const USED_PERCENT: u64 = 80;

/// The budget of the whole deployment for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetTerms {
    /// Arrivals beyond the first of each request, for one request.
    pub ratio: f64,
    /// The length of the window in milliseconds.
    pub window_ms: u64,
    /// Arrivals beyond the first that are always allowed in a window, over all daemons.
    pub slack: f64,
    /// Daemons that share the slack.
    pub daemons: u32,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    at: u64,
    requests: u32,
    repeats: u32,
}

/// Counts requests and repeats by service.
#[derive(Debug)]
pub struct Budget {
    terms: BudgetTerms,
    services: Map<ServiceName, VecDeque<Part>>,
}

impl Budget {
    /// Makes a budget that has counted nothing.
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

    /// Sets the terms; the number of daemons stays as it was last set.
    pub fn set_terms(&mut self, terms: BudgetTerms) {
        let daemons = self.terms.daemons;
        self.terms = BudgetTerms { daemons, ..terms };
    }

    /// Counts a request of a caller.
    pub fn count_request(&mut self, now: TimeMs, service: &ServiceName) {
        self.part(now, service).requests += 1;
    }

    /// Counts a repeat if the budget has room for it; returns whether it may be sent.
    pub fn take(&mut self, now: TimeMs, service: &ServiceName) -> bool {
        if self.left(now, service) < 1.0 {
            return false;
        }
        self.part(now, service).repeats += 1;
        true
    }

    /// Returns the repeats that are left in the window.
    pub fn left(&mut self, now: TimeMs, service: &ServiceName) -> f64 {
        self.part(now, service);
        let parts = self.services.get(service);
        let (requests, repeats) = parts.map_or((0, 0), |parts| {
            parts.iter().fold((0, 0), |(requests, repeats), part| {
                (requests + part.requests, repeats + part.repeats)
            })
        });
        let slack = self.terms.slack / f64::from(self.terms.daemons.max(1));
        let allowed = f64::from(requests).mul_add(self.terms.ratio, slack);
        allowed * USED_PERCENT as f64 / 100.0 - f64::from(repeats)
    }

    /// Returns the repeats that are left in the window, by service.
    pub fn all_left(&mut self, now: TimeMs) -> Vec<(ServiceName, f64)> {
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        let left = services.into_iter().map(|service| {
            let left = self.left(now, &service);
            (service, left)
        });
        left.collect()
    }

    fn part(&mut self, now: TimeMs, service: &ServiceName) -> &mut Part {
        let length_ms = (self.terms.window_ms / WINDOW_PARTS).max(1);
        let at = now.0 / length_ms;
        let parts = self.services.entry(service.clone()).or_default();
        while parts
            .front()
            .is_some_and(|part| part.at + WINDOW_PARTS < at)
        {
            parts.pop_front();
        }
        if parts.back().is_none_or(|part| part.at < at) {
            parts.push_back(Part {
                at,
                requests: 0,
                repeats: 0,
            });
        }
        let last = parts.len() - 1;
        &mut parts[last]
    }
}
