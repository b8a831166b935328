//! Shares suspects among the daemons, so that no restart and no lost datagram makes them forget.

use super::reports::Reports;
use super::{
    Crash, CrashCount, CrashReport, Refused, SuspectList, SuspectSource, Suspects, TrackerInput,
    TrackerMessage, TrackerNotice, TrackerOutput,
};
use balsam_types::{Fingerprint, TimeMs};

/// The time between two comparisons with the leader, in milliseconds.
const COMPARE_MS: u64 = 400;

/// The time between two writes of the row, in milliseconds; each is a priced call.
const WRITE_MS: u64 = 1_000;

/// Refused requests of one datagram at most; one takes 16 bytes.
const REFUSED_MAX: usize = 256;

/// Served requests of which the leader is told again at once.
const CLEARED_MAX: usize = 16;

/// Counts crashes and keeps the list of refused requests.
///
/// The leader counts for all. A daemon repeats its reports until the leader has them. The leader's
/// heartbeats name a digest of the requests that it refuses; a daemon with another one exchanges
/// lists with it. The leader writes the list into the store, from which daemons read it when they
/// start.
#[derive(Debug, Default)]
pub struct CrashTracker {
    suspects: Suspects,
    reports: Reports,
    is_leading: bool,
    compared_at: Option<TimeMs>,
    /// The digest of the row as it was read or written last.
    stored: u64,
    /// The digest of the row that is being written.
    writing: Option<u64>,
    write_at: TimeMs,
    /// Whether the list has changed since it was last taken.
    has_changed: bool,
}

impl CrashTracker {
    /// Makes a watch that suspects nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns what is known of the suspects.
    pub const fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Returns the list to publish, if it has changed since the last call.
    pub fn take_list(&mut self) -> Option<SuspectList> {
        std::mem::take(&mut self.has_changed).then(|| self.suspects.list())
    }

    /// Takes one input and returns what is to be done; `is_leading` tells whether this daemon is the
    /// leader.
    pub fn handle(
        &mut self,
        now: TimeMs,
        is_leading: bool,
        input: TrackerInput,
    ) -> Vec<TrackerOutput> {
        if is_leading && !self.is_leading {
            // What was to be reported is counted here already.
            self.reports.clear();
        }
        self.is_leading = is_leading;
        let mut outputs = Vec::new();
        match input {
            TrackerInput::CrashedUpstream(crash) => self.crashed(now, crash, &mut outputs),
            TrackerInput::Served(fingerprint) => self.clear(now, fingerprint, &mut outputs),
            TrackerInput::Heard(message) => self.hear(now, message, &mut outputs),
            TrackerInput::LeaderDigest(digest) => self.compare(now, digest, &mut outputs),
            TrackerInput::RowRead(refused) => {
                self.stored = digest(&refused);
                self.refuse(now, refused, SuspectSource::Row, &mut outputs);
            }
            TrackerInput::RowWritten { is_done } => {
                if let Some(written) = self.writing.take().filter(|_| is_done) {
                    self.stored = written;
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

    /// Counts a crash; the leader tells the others of a request that crashes more.
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
            .to_share(fingerprint)
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

    fn clear(&mut self, now: TimeMs, fingerprint: Fingerprint, outputs: &mut Vec<TrackerOutput>) {
        let crashes = self.suspects.crashes(fingerprint);
        let is_shared = self.suspects.to_share(fingerprint).is_some()
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
        } else if is_shared {
            outputs.push(TrackerOutput::Broadcast(cleared));
        }
    }

    fn hear(&mut self, now: TimeMs, message: TrackerMessage, outputs: &mut Vec<TrackerOutput>) {
        match message {
            TrackerMessage::Crashes(reports) => self.hear_reports(now, &reports, outputs),
            TrackerMessage::Acknowledged(numbers) => self.reports.acknowledged(&numbers),
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
                self.suspects.told(now, fingerprint, crashed);
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
                let answers = own.chunks(REFUSED_MAX);
                let answers = answers.map(|part| TrackerMessage::RefusesToo(part.to_vec()));
                outputs.extend(answers.map(TrackerOutput::Reply));
            }
            TrackerMessage::RefusesToo(refused) => {
                self.refuse(now, refused, SuspectSource::Refusal, outputs);
            }
        }
    }

    fn hear_reports(
        &mut self,
        now: TimeMs,
        reports: &[CrashReport],
        outputs: &mut Vec<TrackerOutput>,
    ) {
        // Without an acknowledgement the reports go to the next leader.
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

    /// Exchanges lists with a leader that refuses other requests than this daemon.
    fn compare(&mut self, now: TimeMs, theirs: u64, outputs: &mut Vec<TrackerOutput>) {
        let is_early = self
            .compared_at
            .is_some_and(|at| now.since(at) < COMPARE_MS);
        if self.is_leading || is_early || theirs == self.suspects.digest() {
            return;
        }
        self.compared_at = Some(now);
        let cleared = self.suspects.cleared(now).take(CLEARED_MAX);
        let cleared = cleared.map(TrackerMessage::Cleared);
        outputs.extend(cleared.map(TrackerOutput::SendToLeader));
        let mut own = self.suspects.refused(now);
        own.truncate(REFUSED_MAX);
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
        if refused != self.stored && self.writing.is_none() && now >= self.write_at {
            self.writing = Some(refused);
            self.write_at = now.after(WRITE_MS);
            outputs.push(TrackerOutput::WriteRow(self.suspects.refused(now)));
        }
    }
}

fn digest(refused: &[Refused]) -> u64 {
    refused
        .iter()
        .fold(0, |digest, refused| digest ^ refused.fingerprint.0)
}
