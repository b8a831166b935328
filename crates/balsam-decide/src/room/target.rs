//! The state of one upstream at its keeper.

use super::{PermitReturn, UpstreamLoad};
use crate::directory::DiscoveredUpstream;
use crate::pace::{Pace, PaceOutcome, PaceTerms, PaceVerdict};
use balsam_types::{StartTime, TimeMs, WarmupTerms};
use std::sync::Arc;

/// Weight of the newest answer in the mean response time.
const EWMA_WEIGHT: f64 = 0.2;

/// Range of the response time of an upstream relative to the usual one.
const SLOWNESS_MIN: f64 = 0.2;
const SLOWNESS_MAX: f64 = 8.0;

/// How long requests that can only be late may wait without one of them being sent before they are
/// refused, in milliseconds. A shorter overload is a burst, after which there is room for them.
const LATE_STALL_MS: u64 = 500;

/// How long the load that an upstream tells is believed, in milliseconds. Load on shared machines
/// changes several times a second.
const LOAD_KEPT_MS: u64 = 400;

/// One upstream of a group.
#[derive(Debug)]
pub(super) struct Target {
    upstream: Arc<DiscoveredUpstream>,
    pace: Pace,
    paused_until: TimeMs,
    /// Mean response time relative to the usual one of the requests.
    slowness: f64,
    /// The slowness of its machine as it has told, and when.
    told: Option<(TimeMs, f64)>,
    /// Since when requests that can only be late wait for it and none of them was sent.
    late_since: Option<TimeMs>,
}

impl Target {
    /// Creates the state of an upstream about which nothing is known yet.
    pub(super) fn new(upstream: Arc<DiscoveredUpstream>, warmup: Option<WarmupTerms>) -> Self {
        let pace = Pace::new(terms(&upstream, warmup));
        Self {
            upstream,
            pace,
            paused_until: TimeMs(0),
            slowness: 1.0,
            told: None,
            late_since: None,
        }
    }

    /// Adopts the newest entry of the upstream and the terms of its service.
    pub(super) fn update(
        &mut self,
        now: TimeMs,
        upstream: Arc<DiscoveredUpstream>,
        warmup: Option<WarmupTerms>,
    ) {
        self.pace.set_terms(terms(&upstream, warmup));
        if upstream.warmup_ends_at > now {
            self.pace.set_cold_until(now, upstream.warmup_ends_at);
        }
        self.upstream = upstream;
    }

    /// Records that the upstream has started.
    pub(super) fn record_start(&mut self, now: TimeMs) {
        self.pace.record_start(now);
    }

    /// Sends no requests before `until`.
    pub(super) fn pause(&mut self, until: TimeMs) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Returns the upstream.
    pub(super) const fn upstream(&self) -> &Arc<DiscoveredUpstream> {
        &self.upstream
    }

    /// Returns which run of the upstream this is.
    pub(super) fn born(&self) -> StartTime {
        self.upstream.entry.born
    }

    /// Returns whether a request may be sent.
    pub(super) fn verdict(&self, now: TimeMs) -> PaceVerdict {
        if now < self.paused_until {
            return PaceVerdict::At(self.paused_until);
        }
        self.pace.verdict(now)
    }

    /// Returns the response time relative to the usual one, by the answers and by what the upstream
    /// has told of its machine.
    pub(super) fn slowness(&self, now: TimeMs) -> f64 {
        let told = self.told.filter(|(at, _)| now.since(*at) < LOAD_KEPT_MS);
        told.map_or(self.slowness, |(_, told)| self.slowness.max(told))
    }

    /// Records whether requests that can only be late wait for the upstream, after requests have been
    /// sent to it. `was_late_sent` states that one of them was among these.
    pub(super) fn record_late(&mut self, now: TimeMs, has_late: bool, was_late_sent: bool) {
        if !has_late {
            self.late_since = None;
        } else if was_late_sent || self.late_since.is_none() {
            self.late_since = Some(now);
        }
    }

    /// Returns whether the upstream is so overloaded that it gets requests in time only, so that
    /// requests that can only be late wait in vain.
    pub(super) fn starves_late(&self, now: TimeMs) -> bool {
        let stalled = |since: TimeMs| now.since(since) >= LATE_STALL_MS;
        self.late_since.is_some_and(stalled)
    }

    /// Returns the number of requests that are expected to be in flight if as many are sent as may
    /// be.
    pub(super) fn concurrency(&self, now: TimeMs) -> f64 {
        self.pace.expected_concurrency(now).max(0.25)
    }

    /// Returns the number of requests in flight.
    pub(super) const fn in_flight(&self) -> u32 {
        self.pace.in_flight()
    }

    /// Counts a request that is being sent.
    pub(super) fn record_sent(&mut self, now: TimeMs) {
        self.pace.record_sent(now);
    }

    /// Records how a request has ended.
    pub(super) fn record_return(&mut self, now: TimeMs, returned: &PermitReturn) {
        self.pace.record_outcome(now, returned.outcome);
        if let Some(pause_ms) = returned.pause_ms {
            self.pause(now.after(pause_ms));
        }
        if let Some(UpstreamLoad {
            slowness_percent: Some(percent),
            ..
        }) = returned.load
        {
            let told = f64::from(percent) / 100.0;
            self.told = Some((now, told.clamp(SLOWNESS_MIN, SLOWNESS_MAX)));
        }
        if let PaceOutcome::Answered { took_ms, usual_ms } = returned.outcome
            && usual_ms > 0
        {
            let ratio = f64::from(took_ms) / f64::from(usual_ms);
            let ratio = ratio.clamp(SLOWNESS_MIN, SLOWNESS_MAX);
            self.slowness += (ratio - self.slowness) * EWMA_WEIGHT;
        }
    }
}

fn terms(upstream: &DiscoveredUpstream, warmup: Option<WarmupTerms>) -> PaceTerms {
    PaceTerms {
        slots: upstream.entry.slots,
        warmup,
    }
}
