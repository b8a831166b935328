//! Reports of crashes that are repeated until the leader has them.

use super::Crash;
use balsam_types::{Fingerprint, TimeMs};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The time after which a report is repeated, in milliseconds; an answer takes a few.
const REPEAT_MS: u64 = 300;

/// How long a report is repeated, in milliseconds; it covers the election of another leader.
const REPEATED_MS: u64 = 10_000;

/// Reports that wait at most; the oldest makes room.
const WAITING_MAX: usize = 512;

/// Reports of one datagram at most; one takes about 80 bytes.
const TOGETHER_MAX: usize = 48;

/// A crash with the number by which its report is acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The number, unique in one life of the daemon that sends it.
    pub number: u64,
    /// The crash.
    pub crash: Crash,
}

#[derive(Debug)]
struct Waiting {
    report: CrashReport,
    ended_at: TimeMs,
    sent_at: Option<TimeMs>,
}

/// The crashes of which the leader may not know.
#[derive(Debug, Default)]
pub(super) struct Reports {
    waiting: VecDeque<Waiting>,
    last_number: u64,
}

impl Reports {
    /// Adds a crash.
    pub(super) fn add(&mut self, now: TimeMs, crash: Crash) {
        if self.waiting.len() >= WAITING_MAX {
            self.waiting.pop_front();
        }
        self.last_number += 1;
        let ended_at = now.before(crash.ended_ago_ms);
        self.waiting.push_back(Waiting {
            report: CrashReport {
                number: self.last_number,
                crash,
            },
            ended_at,
            sent_at: None,
        });
    }

    /// Returns the reports that are to be sent now.
    pub(super) fn due(&mut self, now: TimeMs) -> Vec<CrashReport> {
        self.waiting
            .retain(|waiting| now.since(waiting.ended_at) < REPEATED_MS);
        let is_due = |waiting: &&mut Waiting| {
            let sent_at = waiting.sent_at;
            sent_at.is_none_or(|at| now.since(at) >= REPEAT_MS)
        };
        let due = self.waiting.iter_mut().filter(is_due).take(TOGETHER_MAX);
        let due = due.map(|waiting| {
            waiting.sent_at = Some(now);
            let mut report = waiting.report.clone();
            report.crash.ended_ago_ms = now.since(waiting.ended_at);
            report
        });
        due.collect()
    }

    /// Forgets reports that the leader has.
    pub(super) fn acknowledged(&mut self, numbers: &[u64]) {
        self.waiting
            .retain(|waiting| !numbers.contains(&waiting.report.number));
    }

    /// Forgets the reports of a request.
    pub(super) fn forget(&mut self, fingerprint: Fingerprint) {
        self.waiting
            .retain(|waiting| waiting.report.crash.fingerprint != fingerprint);
    }

    /// Forgets all reports.
    pub(super) fn clear(&mut self) {
        self.waiting.clear();
    }
}
