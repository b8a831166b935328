//! A pace whose upstream is a function, and callers that always wait.

use balsam_decide::pace::{Pace, PaceOutcome, PaceTerms, PaceVerdict};
use balsam_types::{TimeMs, WarmupTerms};

pub const SLOTS: u32 = 3;

/// How long a cold upstream stays cold.
pub const WARMUP_MS: u64 = 3_000;

/// Requests in one second that a cold upstream tolerates, R1: 3.3 x 1.5 + 8.
pub const COLD_MAX: usize = 12;

/// Requests in one second at the told rate of 3.3, with one more for the bounds of the second and one
/// for the burst of two.
pub const PACED_MAX: usize = 5;

pub const WARMUP: WarmupTerms = WarmupTerms {
    duration_ms: WARMUP_MS,
    interval_us: 303_030,
};

pub const fn terms(warmup: Option<WarmupTerms>) -> PaceTerms {
    PaceTerms {
        slots: SLOTS,
        warmup,
    }
}

/// Returns an answer that took `took_ms` where `usual_ms` is usual, with the time until it arrives.
pub const fn answer(took_ms: u64, usual_ms: u64) -> (u64, PaceOutcome) {
    let outcome = PaceOutcome::Answered {
        took_ms: took_ms as u32,
        usual_ms: usual_ms as u32,
    };
    (took_ms, outcome)
}

/// What an upstream sees of a request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub now: u64,
    /// Requests in flight with this one.
    pub in_flight: u32,
}

/// What has happened to an upstream.
#[derive(Debug, Default)]
pub struct Record {
    /// When requests were sent, in order.
    pub starts: Vec<u64>,
    /// The most requests in flight from a time on.
    pub in_flight: Vec<(u64, u32)>,
    /// Times without a request in flight: when they began, and how long they were.
    pub idle: Vec<(u64, u64)>,
    /// How requests ended.
    pub outcomes: Vec<(u64, PaceOutcome)>,
}

impl Record {
    /// Returns the number of requests that were sent in a time.
    pub fn sent(&self, from: u64, until: u64) -> usize {
        let sent = self.starts.iter();
        sent.filter(|at| (from..until).contains(at)).count()
    }

    /// Returns the most requests that were sent in any second that begins in a time.
    pub fn most_in_second(&self, from: u64, until: u64) -> usize {
        most_in_second(&self.starts, from, until)
    }

    pub fn longest_idle_ms(&self) -> u64 {
        let idle = self.idle.iter().map(|(_, lasted)| *lasted);
        idle.max().unwrap_or_default()
    }

    pub fn most_in_flight(&self, from: u64) -> u32 {
        let later = self.in_flight.iter().filter(|(at, _)| *at >= from);
        later.map(|(_, count)| *count).max().unwrap_or_default()
    }
}

/// Returns the most of the sorted `times` in any second that begins in a time.
pub fn most_in_second(times: &[u64], from: u64, until: u64) -> usize {
    let in_second = |first: &u64| {
        let second = *first..*first + 1_000;
        times.iter().filter(|at| second.contains(at)).count()
    };
    let firsts = times.iter().filter(|at| (from..until).contains(at));
    firsts.map(in_second).max().unwrap_or_default()
}

/// Sends a request whenever the pace allows it, and ends it as `upstream` says: after a time, with an
/// outcome.
pub fn play(
    pace: &mut Pace,
    until: u64,
    mut upstream: impl FnMut(Arrival) -> (u64, PaceOutcome),
) -> Record {
    let mut record = Record::default();
    let mut running: Vec<(u64, PaceOutcome)> = Vec::new();
    let mut idle_since = 0;
    for now in 0..until {
        for (_, outcome) in running.extract_if(.., |(end, _)| *end <= now) {
            pace.record_outcome(TimeMs(now), outcome);
            record.outcomes.push((now, outcome));
            idle_since = now;
        }
        while pace.verdict(TimeMs(now)) == PaceVerdict::Now {
            if running.is_empty() {
                record.idle.push((idle_since, now - idle_since));
            }
            pace.record_sent(TimeMs(now));
            record.starts.push(now);
            let arrival = Arrival {
                now,
                in_flight: running.len() as u32 + 1,
            };
            let (after_ms, outcome) = upstream(arrival);
            running.push((now + after_ms.max(1), outcome));
            record.in_flight.push((now, running.len() as u32));
        }
    }
    if running.is_empty() {
        record.idle.push((idle_since, until - idle_since));
    }
    record
}
