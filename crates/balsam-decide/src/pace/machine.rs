//! The state of the pace of one upstream.

use super::spacing::StartSpacing;
use super::{PaceOutcome, PaceTerms, PaceVerdict};
use balsam_types::TimeMs;

/// An answer that takes longer than this multiple of the usual time is late. Upstreams on shared
/// machines are about three times slower for a fifth of the time, and some upstreams have 0.6 times
/// the usual speed, so that five times the usual time is not a sign of overload.
const LATE_RATIO: f64 = 6.0;

/// Factor applied to the concurrency limit after a late answer or a request without an answer.
const LATE_LIMIT_FACTOR: f64 = 0.85;

/// Factor applied to the concurrency limit after a rejection or a reset.
const REJECTED_LIMIT_FACTOR: f64 = 0.7;

/// How long an answer shows that the upstream takes as many requests as were in flight with it, in
/// milliseconds. An upstream may reject or reset a part of its requests whatever their number is, and
/// must not be left idle for that.
const PROVEN_MS: u64 = 1_000;

/// Minimum interval between two decreases of the concurrency limit, in milliseconds, so that
/// requests that were sent together and fail together lower it once.
const DECREASE_INTERVAL_MS: u64 = 100;

/// Increase of the concurrency limit after an answer in time; it is divided by the current limit.
const LIMIT_INCREASE: f64 = 0.25;

/// Increase of the concurrency limit after an answer in time during slow start. It doubles the limit
/// in each round of answers.
const SLOW_START_INCREASE: f64 = 1.0;

/// Lower bound of the concurrency limit. Below 1, requests are sent one at a time with pauses between
/// them.
const LIMIT_MIN: f64 = 0.25;

/// Response time that pauses are derived from if it is shorter or not known, in milliseconds. A
/// rejection takes no time at all.
const PAUSE_BASE_MIN_MS: f64 = 50.0;

/// Pause after the first failure of an upstream that counts as down, in milliseconds; it doubles with
/// each further failure.
const PROBE_PAUSE_MIN_MS: u64 = 100;

/// Upper limit on all pauses, in milliseconds. An upstream must not be idle for more than a second
/// while requests wait, and whoever holds the pace may look at it a little later.
const PAUSE_MAX_MS: u64 = 900;

/// Number of failed connections without an answer in between after which an upstream counts as down.
/// A single one may be the fault of the daemon that tried.
const UNREACHABLE_MAX: u32 = 2;

/// Number of failures without an answer in between after which an upstream counts as down, unless it
/// has more slots: all requests in flight may fail together. One that loses two in five answers at
/// random seldom reaches it.
const FAILURES_MAX: u32 = 6;

/// Number of rejections without an answer in between after which an upstream counts as down, unless it
/// has more slots. One that rejects half of its requests at random seldom reaches it.
const REJECTIONS_MAX: u32 = 8;

/// Time without an answer while requests are in flight after which one that times out means that the
/// upstream is down, in milliseconds.
const SILENT_MS: u64 = 2_000;

/// Weight of the newest answer in the mean response time.
const EWMA_WEIGHT: f64 = 0.2;

/// How the concurrency limit changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The limit grows slowly with answers in time.
    Steady,
    /// The upstream has started or recovered; the limit doubles with each round of answers in time.
    SlowStart,
    /// The upstream does not serve. Single requests find out when it does again.
    Down {
        /// Requests that have failed since, one after the other.
        failures: u32,
        /// Whether it may have started again meanwhile. One that rejects requests has not.
        may_restart: bool,
    },
}

/// A sign that an upstream cannot take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    Rejected,
    Reset,
    TimedOut,
    Unreachable,
}

/// The pace of one upstream, kept by whoever decides which requests are sent to it.
#[derive(Clone, Debug)]
pub struct Pace {
    terms: PaceTerms,
    in_flight: u32,
    phase: Phase,
    /// Number of requests that may be in flight, adjusted after each outcome.
    limit: f64,
    decreased_at: Option<TimeMs>,
    /// No request is sent before this time.
    paused_until: TimeMs,
    cold_until: TimeMs,
    spacing: StartSpacing,
    /// Moving average of the response times, in milliseconds.
    mean_ms: f64,
    /// Failures since the last answer, rejections not counted.
    failures: u32,
    /// Rejections since the last answer.
    rejections: u32,
    /// The most requests in flight with one that was answered lately, and when.
    proven: Option<(u32, TimeMs)>,
    /// Failures to connect since the last answer.
    unreachable: u32,
    /// Since when requests are in flight without any answer.
    unanswered_since: Option<TimeMs>,
}

impl Pace {
    /// Creates the pace of an upstream that is not known to have started recently. It begins with
    /// all its slots.
    pub fn new(terms: PaceTerms) -> Self {
        Self {
            terms,
            in_flight: 0,
            phase: Phase::Steady,
            limit: limit_max(terms),
            decreased_at: None,
            paused_until: TimeMs(0),
            cold_until: TimeMs(0),
            spacing: StartSpacing::default(),
            mean_ms: 0.0,
            failures: 0,
            rejections: 0,
            proven: None,
            unreachable: 0,
            unanswered_since: None,
        }
    }

    /// Changes the terms, for example after a change of the configuration.
    pub fn set_terms(&mut self, terms: PaceTerms) {
        let was_full = self.limit >= limit_max(self.terms);
        self.terms = terms;
        self.limit = if was_full {
            limit_max(terms)
        } else {
            self.limit.min(limit_max(terms))
        };
    }

    /// Records that the upstream is cold until a time, which a later call only moves back. Requests
    /// are limited from now on.
    pub fn set_cold_until(&mut self, now: TimeMs, until: TimeMs) {
        if until <= now {
            return;
        }
        if !self.is_cold(now) {
            self.slow_start(now);
        }
        self.cold_until = self.cold_until.max(until);
    }

    /// Records that the upstream has started. How long it stays cold is not known.
    pub fn record_start(&mut self, now: TimeMs) {
        self.slow_start(now);
    }

    /// Returns whether another request may be sent.
    pub fn verdict(&self, now: TimeMs) -> PaceVerdict {
        if self.in_flight >= self.in_flight_max() {
            return PaceVerdict::Full;
        }
        let spaced = self.start_interval_us(now);
        let spaced_at = spaced.map_or(TimeMs(0), |interval_us| self.spacing.next_at(interval_us));
        let at = self.paused_until.max(spaced_at);
        if now >= at {
            PaceVerdict::Now
        } else {
            PaceVerdict::At(at)
        }
    }

    /// Returns the number of requests that may be in flight at present.
    pub const fn concurrency(&self) -> f64 {
        match self.phase {
            Phase::Down { .. } => LIMIT_MIN,
            Phase::Steady | Phase::SlowStart => self.limit,
        }
    }

    /// Returns the number of requests that are expected to be in flight if as many are sent as may
    /// be. It is lower than [`concurrency`](Self::concurrency) while the spacing of the starts does
    /// not fill that.
    pub fn expected_concurrency(&self, now: TimeMs) -> f64 {
        let by_limit = self.concurrency();
        match self.start_interval_us(now) {
            Some(interval_us) if self.mean_ms > 0.0 => {
                let by_spacing = self.mean_ms * 1_000.0 / interval_us as f64;
                by_limit.min(by_spacing.max(LIMIT_MIN))
            }
            _ => by_limit,
        }
    }

    /// Returns the number of requests in flight.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Counts a request that is being sent.
    pub fn record_sent(&mut self, now: TimeMs) {
        self.in_flight += 1;
        self.unanswered_since = self.unanswered_since.or(Some(now));
        if let Some(interval_us) = self.start_interval_us(now) {
            self.spacing.record_start(now, interval_us);
        } else if let Some(warmup) = self.terms.warmup {
            self.spacing.end_idle_time(now, warmup.interval_us);
        }
    }

    /// Records how a request has ended.
    pub fn record_outcome(&mut self, now: TimeMs, outcome: PaceOutcome) {
        let in_flight = self.in_flight;
        self.in_flight = in_flight.saturating_sub(1);
        match outcome {
            PaceOutcome::Answered { took_ms, usual_ms } => {
                if !self.is_proven(now, in_flight + 1) {
                    self.proven = Some((in_flight, now));
                }
                self.record_answer(now, f64::from(took_ms), f64::from(usual_ms));
            }
            PaceOutcome::Rejected => self.record_failure(now, Failure::Rejected, in_flight),
            PaceOutcome::Reset => self.record_failure(now, Failure::Reset, in_flight),
            PaceOutcome::TimedOut => self.record_failure(now, Failure::TimedOut, in_flight),
            PaceOutcome::Unreachable => self.record_failure(now, Failure::Unreachable, in_flight),
            PaceOutcome::Unused => {}
        }
        if self.in_flight == 0 {
            self.unanswered_since = None;
        }
    }

    fn record_answer(&mut self, now: TimeMs, took_ms: f64, usual_ms: f64) {
        self.failures = 0;
        self.rejections = 0;
        self.unreachable = 0;
        self.unanswered_since = Some(now);
        self.mean_ms = if self.mean_ms > 0.0 {
            self.mean_ms + (took_ms - self.mean_ms) * EWMA_WEIGHT
        } else {
            took_ms
        };
        // While the told rate bounds the starts, slow answers are what a cold upstream gives.
        let is_spaced = self.start_interval_us(now).is_some();
        let is_late = usual_ms > 0.0 && took_ms > usual_ms * LATE_RATIO && !is_spaced;
        match self.phase {
            Phase::Down { may_restart, .. } => return self.recover(now, may_restart),
            Phase::Steady | Phase::SlowStart if is_late => {
                self.decrease(now, LATE_LIMIT_FACTOR, 1.0);
            }
            Phase::Steady => self.limit += LIMIT_INCREASE / self.limit.max(1.0),
            Phase::SlowStart => self.limit += SLOW_START_INCREASE,
        }
        if self.limit >= limit_max(self.terms) {
            self.limit = limit_max(self.terms);
            self.phase = Phase::Steady;
        }
        self.pause_below_one(now);
    }

    /// Returns whether an answer has shown lately that the upstream takes so many requests at once.
    fn is_proven(&self, now: TimeMs, in_flight: u32) -> bool {
        self.proven
            .is_some_and(|(most, at)| in_flight <= most && now.since(at) < PROVEN_MS)
    }

    fn record_failure(&mut self, now: TimeMs, failure: Failure, in_flight: u32) {
        match failure {
            Failure::Rejected => self.rejections += 1,
            Failure::Unreachable => {
                self.failures += 1;
                self.unreachable += 1;
            }
            Failure::Reset | Failure::TimedOut => self.failures += 1,
        }
        if let Phase::Down {
            failures,
            may_restart,
        } = self.phase
        {
            // Requests that were sent before the pause began say nothing new.
            if now >= self.paused_until {
                let may_restart = may_restart || failure != Failure::Rejected;
                self.back_off(now, failures + 1, may_restart);
            }
            return;
        }
        let unanswered_since = self.unanswered_since;
        let is_silent = failure == Failure::TimedOut
            && unanswered_since.is_some_and(|since| now.since(since) >= SILENT_MS);
        if is_silent
            || self.unreachable >= UNREACHABLE_MAX
            || self.failures >= self.terms.slots.max(FAILURES_MAX)
        {
            return self.back_off(now, 0, true);
        }
        if self.rejections >= self.terms.slots.max(REJECTIONS_MAX) {
            return self.back_off(now, 0, false);
        }
        match failure {
            Failure::TimedOut => self.decrease(now, LATE_LIMIT_FACTOR, 1.0),
            Failure::Rejected | Failure::Reset if self.is_proven(now, in_flight) => return,
            Failure::Rejected | Failure::Reset | Failure::Unreachable => {
                self.decrease(now, REJECTED_LIMIT_FACTOR, LIMIT_MIN);
            }
        }
        self.pause_below_one(now);
    }

    /// Starts over after an upstream that did not serve has answered. If it may have started just now,
    /// it counts as cold if its service has warm-up terms.
    fn recover(&mut self, now: TimeMs, may_restart: bool) {
        self.phase = Phase::SlowStart;
        self.paused_until = now;
        self.slow_start(now);
        if let Some(warmup) = self.terms.warmup.filter(|_| may_restart) {
            self.cold_until = self.cold_until.max(now.after(warmup.duration_ms));
        }
    }

    /// Lowers the limit to one request, from which it grows with answers in time.
    fn slow_start(&mut self, now: TimeMs) {
        self.limit = 1.0;
        if let Some(warmup) = self.terms.warmup {
            self.spacing.end_idle_time(now, warmup.interval_us);
        }
        if self.phase == Phase::Steady {
            self.phase = Phase::SlowStart;
        }
    }

    /// Pauses after a failure of an upstream that does not serve.
    fn back_off(&mut self, now: TimeMs, failures: u32, may_restart: bool) {
        self.phase = Phase::Down {
            failures,
            may_restart,
        };
        self.limit = 1.0;
        let pause_ms = PROBE_PAUSE_MIN_MS.checked_shl(failures.min(u64::BITS / 2));
        let pause_ms = pause_ms.unwrap_or(PAUSE_MAX_MS).min(PAUSE_MAX_MS);
        self.paused_until = now.after(pause_ms);
    }

    /// Lowers the limit, down to `limit_min` at most.
    fn decrease(&mut self, now: TimeMs, factor: f64, limit_min: f64) {
        self.phase = Phase::Steady;
        let decreased_at = self.decreased_at;
        if decreased_at.is_some_and(|at| now.since(at) < DECREASE_INTERVAL_MS) {
            return;
        }
        self.decreased_at = Some(now);
        self.limit = (self.limit * factor).max(limit_min.min(self.limit));
    }

    /// Adds a pause between requests while the limit is below 1.
    fn pause_below_one(&mut self, now: TimeMs) {
        if self.limit < 1.0 {
            let pause_ms = self.mean_ms.max(PAUSE_BASE_MIN_MS) * (1.0 / self.limit - 1.0);
            self.paused_until = now.after((pause_ms as u64).min(PAUSE_MAX_MS));
        }
    }

    /// Returns the whole number of requests that may be in flight.
    fn in_flight_max(&self) -> u32 {
        match self.phase {
            Phase::Down { .. } => 1,
            Phase::Steady | Phase::SlowStart => self.limit.round().max(1.0) as u32,
        }
    }

    const fn is_cold(&self, now: TimeMs) -> bool {
        now.0 < self.cold_until.0
    }

    /// Returns the interval between starts if they are spaced: while the upstream is cold, and while
    /// it does not serve, because it is cold once it does.
    fn start_interval_us(&self, now: TimeMs) -> Option<u64> {
        let warmup = self.terms.warmup?;
        let may_restart = matches!(
            self.phase,
            Phase::Down {
                may_restart: true,
                ..
            }
        );
        let is_spaced = self.is_cold(now) || may_restart;
        is_spaced.then_some(warmup.interval_us)
    }
}

fn limit_max(terms: PaceTerms) -> f64 {
    f64::from(terms.slots.max(1))
}
