//! Shares suspects among the daemons, so that no restart and no lost datagram makes them forget.

use super::reports::Reports;
use super::{
    Crash, CrashCount, CrashReport, Refused, SuspectList, SuspectSource, Suspects, WatchInput,
    WatchMessage, WatchNote, WatchOutput,
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
pub struct CrashWatch {
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

impl CrashWatch {
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
    pub fn handle(&mut self, now: TimeMs, is_leading: bool, input: WatchInput) -> Vec<WatchOutput> {
        if is_leading && !self.is_leading {
            // What was to be reported is counted here already.
            self.reports.clear();
        }
        self.is_leading = is_leading;
        let mut outputs = Vec::new();
        match input {
            WatchInput::Crashed(crash) => self.crashed(now, crash, &mut outputs),
            WatchInput::Served(fingerprint) => self.clear(now, fingerprint, &mut outputs),
            WatchInput::Heard(message) => self.hear(now, message, &mut outputs),
            WatchInput::LeaderRefuses(digest) => self.compare(now, digest, &mut outputs),
            WatchInput::RowRead(refused) => {
                self.stored = digest(&refused);
                self.refuse(now, refused, SuspectSource::Row, &mut outputs);
            }
            WatchInput::RowWritten { is_done } => {
                if let Some(written) = self.writing.take().filter(|_| is_done) {
                    self.stored = written;
                }
            }
            WatchInput::Tick => self.tick(now, &mut outputs),
        }
        outputs
    }

    fn crashed(&mut self, now: TimeMs, crash: Crash, outputs: &mut Vec<WatchOutput>) {
        if self.count(now, &crash, outputs) && !self.is_leading {
            self.reports.add(now, crash);
        }
    }

    /// Counts a crash; the leader tells the others of a request that crashes more.
    fn count(&mut self, now: TimeMs, crash: &Crash, outputs: &mut Vec<WatchOutput>) -> bool {
        let fingerprint = crash.fingerprint;
        let count = self.suspects.crashed(now, crash);
        if count != CrashCount::Counted {
            let crash = crash.clone();
            outputs.push(WatchOutput::Note(WatchNote::Ignored { crash, count }));
            return false;
        }
        self.has_changed = true;
        outputs.push(WatchOutput::Note(WatchNote::Suspected {
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
            outputs.push(WatchOutput::TellAll(WatchMessage::Suspect {
                fingerprint,
                crashed,
            }));
        }
        true
    }

    fn clear(&mut self, now: TimeMs, fingerprint: Fingerprint, outputs: &mut Vec<WatchOutput>) {
        let crashes = self.suspects.crashes(fingerprint);
        let is_shared = self.suspects.to_share(fingerprint).is_some()
            || self.suspects.refused_until(fingerprint).is_some();
        if !self.suspects.served(now, fingerprint) {
            return;
        }
        self.has_changed = true;
        self.reports.forget(fingerprint);
        outputs.push(WatchOutput::Note(WatchNote::Cleared {
            fingerprint,
            crashes,
        }));
        let cleared = WatchMessage::Cleared(fingerprint);
        if !self.is_leading {
            outputs.push(WatchOutput::TellLeader(cleared));
        } else if is_shared {
            outputs.push(WatchOutput::TellAll(cleared));
        }
    }

    fn hear(&mut self, now: TimeMs, message: WatchMessage, outputs: &mut Vec<WatchOutput>) {
        match message {
            WatchMessage::Crashes(reports) => self.hear_reports(now, &reports, outputs),
            WatchMessage::Acknowledged(numbers) => self.reports.acknowledged(&numbers),
            WatchMessage::Suspect {
                fingerprint,
                crashed,
            } => {
                let Some(last) = crashed.last().cloned() else {
                    return;
                };
                if self.suspects.was_cleared(now, fingerprint) {
                    let cleared = WatchMessage::Cleared(fingerprint);
                    return outputs.push(WatchOutput::Answer(cleared));
                }
                self.suspects.told(now, fingerprint, crashed);
                self.has_changed = true;
                outputs.push(WatchOutput::Note(WatchNote::Suspected {
                    fingerprint,
                    crashed: Some(last),
                    source: SuspectSource::Leader,
                }));
            }
            WatchMessage::Cleared(fingerprint) => self.clear(now, fingerprint, outputs),
            WatchMessage::Refuses(refused) => {
                self.refuse(now, refused, SuspectSource::Refusal, outputs);
                let own = self.suspects.refused(now);
                let answers = own.chunks(REFUSED_MAX);
                let answers = answers.map(|part| WatchMessage::RefusesToo(part.to_vec()));
                outputs.extend(answers.map(WatchOutput::Answer));
            }
            WatchMessage::RefusesToo(refused) => {
                self.refuse(now, refused, SuspectSource::Refusal, outputs);
            }
        }
    }

    fn hear_reports(
        &mut self,
        now: TimeMs,
        reports: &[CrashReport],
        outputs: &mut Vec<WatchOutput>,
    ) {
        // Without an acknowledgement the reports go to the next leader.
        if !self.is_leading {
            return;
        }
        let numbers = reports.iter().map(|report| report.number).collect();
        for CrashReport { crash, .. } in reports {
            self.count(now, crash, outputs);
        }
        outputs.push(WatchOutput::Answer(WatchMessage::Acknowledged(numbers)));
    }

    fn refuse(
        &mut self,
        now: TimeMs,
        refused: Vec<Refused>,
        source: SuspectSource,
        outputs: &mut Vec<WatchOutput>,
    ) {
        for refused in refused {
            let fingerprint = refused.fingerprint;
            if self.suspects.was_cleared(now, fingerprint) {
                if source == SuspectSource::Refusal {
                    let cleared = WatchMessage::Cleared(fingerprint);
                    outputs.push(WatchOutput::Answer(cleared));
                }
            } else if self.suspects.refuse(now, refused) {
                self.has_changed = true;
                outputs.push(WatchOutput::Note(WatchNote::Suspected {
                    fingerprint,
                    crashed: None,
                    source,
                }));
            }
        }
    }

    /// Exchanges lists with a leader that refuses other requests than this daemon.
    fn compare(&mut self, now: TimeMs, theirs: u64, outputs: &mut Vec<WatchOutput>) {
        let is_early = self
            .compared_at
            .is_some_and(|at| now.since(at) < COMPARE_MS);
        if self.is_leading || is_early || theirs == self.suspects.digest() {
            return;
        }
        self.compared_at = Some(now);
        let cleared = self.suspects.cleared(now).take(CLEARED_MAX);
        let cleared = cleared.map(WatchMessage::Cleared);
        outputs.extend(cleared.map(WatchOutput::TellLeader));
        let mut own = self.suspects.refused(now);
        own.truncate(REFUSED_MAX);
        outputs.push(WatchOutput::TellLeader(WatchMessage::Refuses(own)));
    }

    fn tick(&mut self, now: TimeMs, outputs: &mut Vec<WatchOutput>) {
        self.has_changed |= self.suspects.expire(now);
        if !self.is_leading {
            let due = self.reports.due(now);
            if !due.is_empty() {
                outputs.push(WatchOutput::TellLeader(WatchMessage::Crashes(due)));
            }
            return;
        }
        let refused = self.suspects.digest();
        if refused != self.stored && self.writing.is_none() && now >= self.write_at {
            self.writing = Some(refused);
            self.write_at = now.after(WRITE_MS);
            outputs.push(WatchOutput::WriteRow(self.suspects.refused(now)));
        }
    }
}

fn digest(refused: &[Refused]) -> u64 {
    refused
        .iter()
        .fold(0, |digest, refused| digest ^ refused.fingerprint.0)
}
