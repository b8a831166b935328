//! Commits to the change log, at most one at a time.

use super::table::TableReads;
use super::{CommitResult, Node, NodeOutput};
use crate::placer::PlacerContext;
use balsam_types::control::{Change, LogEntry};
use balsam_types::{AttemptId, Incarnation, KeyHash, TimeMs};

/// How long the task tries to get a definite result for a commit, in milliseconds.
const COMMIT_TIMEOUT_MS: u64 = 1_500;

/// How long the node waits for the task's answer after that time-out, in milliseconds.
const COMMIT_REPLY_GRACE_MS: u64 = 500;

#[derive(Debug)]
struct InFlight {
    entry: LogEntry,
    began_at: TimeMs,
    give_up_at: TimeMs,
}

/// The commit in flight and the entry whose commit result is unknown.
#[derive(Debug)]
pub(super) struct Commits {
    me: Incarnation,
    seed: u64,
    count: u64,
    in_flight: Option<InFlight>,
    /// An entry that may be committed; it is written again under the same attempt id.
    in_doubt: Option<LogEntry>,
    /// Whether commands go before the placer's changes; alternates, so that neither can starve the
    /// other.
    command_turn: bool,
}

impl Commits {
    pub(super) const fn new(me: Incarnation, seed: u64) -> Self {
        Self {
            me,
            seed,
            count: 0,
            in_flight: None,
            in_doubt: None,
            command_turn: false,
        }
    }

    fn next_attempt(&mut self) -> AttemptId {
        self.count += 1;
        let parts = [self.me.0, self.seed, self.count];
        let bytes: Vec<u8> = parts.iter().flat_map(|part| part.to_le_bytes()).collect();
        AttemptId(KeyHash::of(bytes).0)
    }

    /// Drops the entry in doubt once its epoch is taken, by itself or by another entry.
    pub(super) fn entry_adopted(&mut self, entry: &LogEntry) {
        if self
            .in_doubt
            .as_ref()
            .is_some_and(|in_doubt_entry| in_doubt_entry.epoch <= entry.epoch)
        {
            self.in_doubt = None;
        }
    }

    /// Drops the entry in doubt if it has this attempt id, because its command was already
    /// answered.
    pub(super) fn forget(&mut self, attempt: AttemptId) {
        if self
            .in_doubt
            .as_ref()
            .is_some_and(|in_doubt_entry| in_doubt_entry.attempt == attempt)
        {
            self.in_doubt = None;
        }
    }

    fn expire(&mut self, now: TimeMs, table: &mut TableReads) {
        let expired = self
            .in_flight
            .take_if(|commit| now >= commit.give_up_at.after(COMMIT_REPLY_GRACE_MS));
        if let Some(commit) = expired {
            table.record_commit_duration(now, commit.began_at);
            self.in_doubt = Some(commit.entry);
        }
    }
}

impl Node {
    /// Starts the next commit, if one is due and none is in flight.
    pub(super) fn begin_commit(&mut self, now: TimeMs, out: &mut Vec<NodeOutput>) {
        self.commits.expire(now, &mut self.table);
        let behind = self.table.newest_known_epoch > self.state.epoch;
        if self.commits.in_flight.is_some() || !self.table.ok || behind {
            return;
        }
        let Some(entry) = self.next_entry(now, out) else {
            return;
        };
        self.withdraw(&entry.change);
        let give_up_at = now.after(COMMIT_TIMEOUT_MS);
        self.commits.in_flight = Some(InFlight {
            entry: entry.clone(),
            began_at: now,
            give_up_at,
        });
        out.push(NodeOutput::Commit { entry, give_up_at });
    }

    fn next_entry(&mut self, now: TimeMs, out: &mut Vec<NodeOutput>) -> Option<LogEntry> {
        let epoch = self.state.epoch.next();
        if let Some(entry) = self
            .commits
            .in_doubt
            .take_if(|in_doubt_entry| in_doubt_entry.epoch == epoch)
        {
            return Some(entry);
        }
        if let Some(change) = self.own_membership_change(now) {
            return self.make_entry(change);
        }
        self.commits.command_turn = !self.commits.command_turn;
        if self.commits.command_turn
            && let Some(entry) = self.command_entry(out)
        {
            return Some(entry);
        }
        if let Some(change) = self.placer_change(now)
            && let Some(entry) = self.make_entry(change)
        {
            return Some(entry);
        }
        self.command_entry(out)
    }

    /// Creates the log entry of `change`, or returns `None` if the change does not apply to the
    /// state.
    fn make_entry(&mut self, change: Change) -> Option<LogEntry> {
        let entry = LogEntry {
            epoch: self.state.epoch.next(),
            attempt: self.commits.next_attempt(),
            author: self.me.incarnation,
            change,
        };
        let mut next = (*self.state).clone();
        next.apply(&entry).is_ok().then_some(entry)
    }

    fn command_entry(&mut self, out: &mut Vec<NodeOutput>) -> Option<LogEntry> {
        while let Some(request) = self
            .commands
            .next_queued(self.state.epoch, self.table.confirmed_at)
        {
            let attempt = self.commits.next_attempt();
            let author = self.me.incarnation;
            match self.commands.entry(request, &self.state, author, attempt) {
                Ok(entry) => return Some(entry),
                Err(result) => out.push(NodeOutput::AnswerCommand { request, result }),
            }
        }
        None
    }

    /// Returns the change to this daemon's own membership, if one is due.
    fn own_membership_change(&self, now: TimeMs) -> Option<Change> {
        let me = self.me.incarnation;
        if self.is_leaving() {
            return self.leaving_change(now);
        }
        let may_join = !self.is_member() && !self.state.departed.contains(&me);
        may_join.then(|| Change::DaemonJoined {
            daemon: self.me.clone(),
        })
    }

    fn placer_change(&mut self, now: TimeMs) -> Option<Change> {
        if !self.is_member() {
            return None;
        }
        let context = PlacerContext {
            now,
            me: self.me.incarnation,
            leaving: self.is_leaving(),
            state: &self.state,
            table_is_responsive: self.table.is_responsive(now),
            membership: &self.membership,
            adoption: &self.adoption,
        };
        if self.is_placer() {
            return self.placer.next_change(&context);
        }
        self.placer
            .should_take_over(&context)
            .then_some(Change::PlacerTaken {
                incarnation: self.me.incarnation,
            })
    }

    /// Handles the result of a commit.
    pub(super) fn commit_done(
        &mut self,
        now: TimeMs,
        attempt: AttemptId,
        result: CommitResult,
        out: &mut Vec<NodeOutput>,
    ) {
        self.due.decide = true;
        let matches = |commit: &mut InFlight| commit.entry.attempt == attempt;
        let Some(commit) = self.commits.in_flight.take_if(matches) else {
            if result == CommitResult::Lost {
                self.commits.forget(attempt);
                self.commands.lost(attempt);
            }
            self.table.read_soon(now);
            return;
        };
        self.table.record_commit_duration(now, commit.began_at);
        match result {
            CommitResult::Committed => {
                self.placer.log_decisions(&commit.entry.change, out);
                self.adopt_entries(now, vec![commit.entry], out);
            }
            CommitResult::Lost => {
                self.table.newest_known_epoch =
                    self.table.newest_known_epoch.max(commit.entry.epoch);
                self.commands.lost(attempt);
                self.table.read_soon(now);
            }
            CommitResult::Unsettled => {
                self.table.ok = false;
                self.table.read_soon(now);
                if commit.entry.epoch > self.state.epoch {
                    self.commits.in_doubt = Some(commit.entry);
                }
            }
        }
    }
}
