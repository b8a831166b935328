//! Shares suspected requests among the daemons, so that neither restarts nor lost datagrams make
//! them forget these requests.

use super::reports::PendingReports;
use super::{
    Crash, CrashCount, CrashReport, Refused, SuspectList, SuspectSource, Suspects, TrackerInput,
    TrackerMessage, TrackerNotice, TrackerOutput,
};
use balsam_types::{Fingerprint, TimeMs};

/// The least time between two exchanges of lists with the leader, in milliseconds.
const COMPARE_INTERVAL_MS: u64 = 400;

/// The least time between two writes of the row, in milliseconds. The store charges for each call.
const WRITE_INTERVAL_MS: u64 = 1_000;

/// The greatest number of refused requests in one datagram; a request takes 16 bytes.
const REFUSED_PER_DATAGRAM_MAX: usize = 256;

/// The greatest number of cleared requests that are reported to the leader again in one exchange of
/// lists.
const CLEARED_PER_EXCHANGE_MAX: usize = 16;

/// Counts crashes and maintains the list of refused requests.
///
/// The leader counts the crashes of all daemons. The other daemons resend their reports until the
/// leader has acknowledged them. The leader's heartbeats contain a digest of the requests that it
/// refuses, and a daemon with a different digest exchanges lists with the leader. The leader writes
/// its list to the store, and daemons read it from there when they start.
#[derive(Debug, Default)]
pub struct CrashTracker {
    suspects: Suspects,
    reports: PendingReports,
    is_leading: bool,
    /// When this daemon last exchanged lists with the leader.
    compared_at: Option<TimeMs>,
    /// The digest of the row when it was last read or written.
    stored_digest: u64,
    /// The digest of the row that is being written, if any.
    pending_digest: Option<u64>,
    /// When the row may be written next.
    next_write_at: TimeMs,
    /// Whether the list has changed since it was last taken.
    has_changed: bool,
}

impl CrashTracker {
    /// Creates a tracker without suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the suspected requests.
    pub const fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Returns the list to publish, if it has changed since the last call.
    pub fn take_list(&mut self) -> Option<SuspectList> {
        std::mem::take(&mut self.has_changed).then(|| self.suspects.list())
    }

    /// Handles one input and returns the actions to carry out.
    ///
    /// `is_leading` tells whether this daemon is the leader.
    pub fn handle(
        &mut self,
        now: TimeMs,
        is_leading: bool,
        input: TrackerInput,
    ) -> Vec<TrackerOutput> {
        if is_leading && !self.is_leading {
            // The new leader has counted its own crashes already, and has nobody to report them to.
            self.reports.clear();
        }
        self.is_leading = is_leading;
        let mut outputs = Vec::new();
        match input {
            TrackerInput::CrashedUpstream(crash) => self.crashed(now, crash, &mut outputs),
            TrackerInput::Served(fingerprint) => self.clear(now, fingerprint, &mut outputs),
            TrackerInput::Heard(message) => self.handle_message(now, message, &mut outputs),
            TrackerInput::LeaderDigest(digest) => self.compare(now, digest, &mut outputs),
            TrackerInput::RowRead(refused) => {
                self.stored_digest = digest(&refused);
                // A write that was acknowledged before a restoration of the store may be lost.
                self.pending_digest = None;
                self.refuse(now, refused, SuspectSource::Row, &mut outputs);
            }
            TrackerInput::RowWritten { is_done } => {
                if let Some(written) = self.pending_digest.take().filter(|_| is_done) {
                    self.stored_digest = written;
                }
            }
            TrackerInput::Tick => self.tick(now, &mut outputs),
        }
        outputs
    }

    fn crashed(&mut self, now: TimeMs, crash: Crash, outputs: &mut Vec<TrackerOutput>) {
        if self.count(now, &crash, outputs) && !self.is_leading {
            self.reports.add(now, crash);
        }
    }

    /// Counts a crash, and returns whether it counts against its request.
    ///
    /// The leader announces the request to the other daemons once it has crashed several upstreams.
    fn count(&mut self, now: TimeMs, crash: &Crash, outputs: &mut Vec<TrackerOutput>) -> bool {
        let fingerprint = crash.fingerprint;
        let count = self.suspects.crashed(now, crash);
        if count != CrashCount::Counted {
            let crash = crash.clone();
            outputs.push(TrackerOutput::Notice(TrackerNotice::Ignored {
                crash,
                count,
            }));
            return false;
        }
        self.has_changed = true;
        outputs.push(TrackerOutput::Notice(TrackerNotice::Suspected {
            fingerprint,
            crashed: Some(crash.upstream.clone()),
            source: SuspectSource::Crash,
        }));
        if let Some(crashed) = self
            .suspects
            .crashes_to_announce(fingerprint)
            .filter(|_| self.is_leading)
        {
            let crashed = crashed.to_vec();
            outputs.push(TrackerOutput::Broadcast(TrackerMessage::Suspect {
                fingerprint,
                crashed,
            }));
        }
        true
    }

    /// Clears a suspected request that an upstream has served, and tells other daemons of it.
    fn clear(&mut self, now: TimeMs, fingerprint: Fingerprint, outputs: &mut Vec<TrackerOutput>) {
        let crashes = self.suspects.crashes(fingerprint);
        let is_announced = self.suspects.crashes_to_announce(fingerprint).is_some()
            || self.suspects.refused_until(fingerprint).is_some();
        if !self.suspects.served(now, fingerprint) {
            return;
        }
        self.has_changed = true;
        self.reports.forget(fingerprint);
        outputs.push(TrackerOutput::Notice(TrackerNotice::Cleared {
            fingerprint,
            crashes,
        }));
        let cleared = TrackerMessage::Cleared(fingerprint);
        if !self.is_leading {
            outputs.push(TrackerOutput::SendToLeader(cleared));
        } else if is_announced {
            outputs.push(TrackerOutput::Broadcast(cleared));
        }
    }

    fn handle_message(
        &mut self,
        now: TimeMs,
        message: TrackerMessage,
        outputs: &mut Vec<TrackerOutput>,
    ) {
        match message {
            TrackerMessage::Crashes(reports) => self.handle_reports(now, &reports, outputs),
            TrackerMessage::Acknowledged(numbers) => self.reports.acknowledge(&numbers),
            TrackerMessage::Suspect {
                fingerprint,
                crashed,
            } => {
                let Some(last) = crashed.last().cloned() else {
                    return;
                };
                if self.suspects.was_cleared(now, fingerprint) {
                    let cleared = TrackerMessage::Cleared(fingerprint);
                    return outputs.push(TrackerOutput::Reply(cleared));
                }
                self.suspects.add_announced(now, fingerprint, crashed);
                self.has_changed = true;
                outputs.push(TrackerOutput::Notice(TrackerNotice::Suspected {
                    fingerprint,
                    crashed: Some(last),
                    source: SuspectSource::Leader,
                }));
            }
            TrackerMessage::Cleared(fingerprint) => self.clear(now, fingerprint, outputs),
            TrackerMessage::Refuses(refused) => {
                self.refuse(now, refused, SuspectSource::Refusal, outputs);
                let own = self.suspects.refused(now);
                let replies = own.chunks(REFUSED_PER_DATAGRAM_MAX);
                let replies = replies.map(|part| TrackerMessage::RefusesToo(part.to_vec()));
                outputs.extend(replies.map(TrackerOutput::Reply));
            }
            TrackerMessage::RefusesToo(refused) => {
                self.refuse(now, refused, SuspectSource::Refusal, outputs);
            }
        }
    }

    fn handle_reports(
        &mut self,
        now: TimeMs,
        reports: &[CrashReport],
        outputs: &mut Vec<TrackerOutput>,
    ) {
        // Reports that are not acknowledged are resent to whichever daemon is the leader by then.
        if !self.is_leading {
            return;
        }
        let numbers = reports.iter().map(|report| report.number).collect();
        for CrashReport { crash, .. } in reports {
            self.count(now, crash, outputs);
        }
        outputs.push(TrackerOutput::Reply(TrackerMessage::Acknowledged(numbers)));
    }

    fn refuse(
        &mut self,
        now: TimeMs,
        refused: Vec<Refused>,
        source: SuspectSource,
        outputs: &mut Vec<TrackerOutput>,
    ) {
        for refused in refused {
            let fingerprint = refused.fingerprint;
            if self.suspects.was_cleared(now, fingerprint) {
                if source == SuspectSource::Refusal {
                    let cleared = TrackerMessage::Cleared(fingerprint);
                    outputs.push(TrackerOutput::Reply(cleared));
                }
            } else if self.suspects.refuse(now, refused) {
                self.has_changed = true;
                outputs.push(TrackerOutput::Notice(TrackerNotice::Suspected {
                    fingerprint,
                    crashed: None,
                    source,
                }));
            }
        }
    }

    /// Starts an exchange of lists if the leader refuses other requests than this daemon.
    fn compare(&mut self, now: TimeMs, leader_digest: u64, outputs: &mut Vec<TrackerOutput>) {
        let is_too_early = self
            .compared_at
            .is_some_and(|at| now.since(at) < COMPARE_INTERVAL_MS);
        if self.is_leading || is_too_early || leader_digest == self.suspects.digest() {
            return;
        }
        self.compared_at = Some(now);
        let cleared = self.suspects.cleared(now).take(CLEARED_PER_EXCHANGE_MAX);
        let cleared = cleared.map(TrackerMessage::Cleared);
        outputs.extend(cleared.map(TrackerOutput::SendToLeader));
        let mut own = self.suspects.refused(now);
        own.truncate(REFUSED_PER_DATAGRAM_MAX);
        outputs.push(TrackerOutput::SendToLeader(TrackerMessage::Refuses(own)));
    }

    fn tick(&mut self, now: TimeMs, outputs: &mut Vec<TrackerOutput>) {
        self.has_changed |= self.suspects.expire(now);
        if !self.is_leading {
            let due = self.reports.due(now);
            if !due.is_empty() {
                outputs.push(TrackerOutput::SendToLeader(TrackerMessage::Crashes(due)));
            }
            return;
        }
        let refused = self.suspects.digest();
        if refused != self.stored_digest
            && self.pending_digest.is_none()
            && now >= self.next_write_at
        {
            self.pending_digest = Some(refused);
            self.next_write_at = now.after(WRITE_INTERVAL_MS);
            outputs.push(TrackerOutput::WriteRow(self.suspects.refused(now)));
        }
    }
}

fn digest(refused: &[Refused]) -> u64 {
    refused
        .iter()
        .fold(0, |digest, refused| digest ^ refused.fingerprint.0)
}
