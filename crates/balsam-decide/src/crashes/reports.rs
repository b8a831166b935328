//! Crash reports that are resent until the leader acknowledges them.

use super::Crash;
use balsam_types::{Fingerprint, TimeMs};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The time after which an unacknowledged report is resent, in milliseconds. An acknowledgement
/// usually takes a few milliseconds.
const RESEND_AFTER_MS: u64 = 300;

/// How long a report is resent, in milliseconds. The time covers the election of another leader.
const RESEND_LIMIT_MS: u64 = 10_000;

/// The greatest number of unacknowledged reports; beyond it, the oldest one is dropped.
const PENDING_MAX: usize = 512;

/// The greatest number of reports in one datagram; a report takes about 80 bytes.
const REPORTS_PER_DATAGRAM_MAX: usize = 48;

/// A crash with the number by which its report is acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The number, unique within one incarnation of the daemon that sends the report.
    pub number: u64,
    /// The crash.
    pub crash: Crash,
}

#[derive(Debug)]
struct PendingReport {
    report: CrashReport,
    /// When the connection of the crashed upstream ended.
    ended_at: TimeMs,
    /// When the report was last sent, if it was sent yet.
    sent_at: Option<TimeMs>,
}

/// The reports that the leader has not acknowledged.
#[derive(Debug, Default)]
pub(super) struct PendingReports {
    pending: VecDeque<PendingReport>,
    last_number: u64,
}

impl PendingReports {
    /// Adds a report of a crash.
    pub(super) fn add(&mut self, now: TimeMs, crash: Crash) {
        if self.pending.len() >= PENDING_MAX {
            self.pending.pop_front();
        }
        self.last_number += 1;
        let ended_at = now.before(crash.ended_ago_ms);
        self.pending.push_back(PendingReport {
            report: CrashReport {
                number: self.last_number,
                crash,
            },
            ended_at,
            sent_at: None,
        });
    }

    /// Returns the reports that are due to be sent or resent, and marks them as sent.
    pub(super) fn due(&mut self, now: TimeMs) -> Vec<CrashReport> {
        self.pending
            .retain(|pending| now.since(pending.ended_at) < RESEND_LIMIT_MS);
        let is_due = |pending: &&mut PendingReport| {
            let sent_at = pending.sent_at;
            sent_at.is_none_or(|at| now.since(at) >= RESEND_AFTER_MS)
        };
        let due = self
            .pending
            .iter_mut()
            .filter(is_due)
            .take(REPORTS_PER_DATAGRAM_MAX);
        let due = due.map(|pending| {
            pending.sent_at = Some(now);
            let mut report = pending.report.clone();
            report.crash.ended_ago_ms = now.since(pending.ended_at);
            report
        });
        due.collect()
    }

    /// Removes the reports that the leader has acknowledged.
    pub(super) fn acknowledge(&mut self, numbers: &[u64]) {
        self.pending
            .retain(|pending| !numbers.contains(&pending.report.number));
    }

    /// Removes the reports of a request.
    pub(super) fn forget(&mut self, fingerprint: Fingerprint) {
        self.pending
            .retain(|pending| pending.report.crash.fingerprint != fingerprint);
    }

    /// Removes all reports.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }
}
