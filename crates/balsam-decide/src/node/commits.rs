//! Commits to the change log, at most one at a time.

use super::table::TableReads;
use super::{CommitResult, Node, NodeOutput};
use crate::placer::PlacerContext;
use balsam_types::control::{Change, LogEntry};
use balsam_types::{AttemptId, Incarnation, KeyHash, TimeMs};

/// How long the task tries to settle a commit, in milliseconds.
const COMMIT_TIMEOUT_MS: u64 = 1_500;

/// How long the node waits for the task beyond that, in milliseconds.
const COMMIT_SLACK_MS: u64 = 500;

#[derive(Debug)]
struct InFlight {
    entry: LogEntry,
    began_at: TimeMs,
    give_up_at: TimeMs,
}

/// The commit in flight and the one whose result is unknown.
#[derive(Debug)]
pub(super) struct Commits {
    me: Incarnation,
    seed: u64,
    count: u64,
    in_flight: Option<InFlight>,
    /// An entry that may be committed; it is written again under the same attempt.
    in_doubt: Option<LogEntry>,
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

    /// Drops the entry in doubt once its epoch is taken, by itself or by another.
    pub(super) fn entry_adopted(&mut self, entry: &LogEntry) {
        if self
            .in_doubt
            .as_ref()
            .is_some_and(|doubt| doubt.epoch <= entry.epoch)
        {
            self.in_doubt = None;
        }
    }

    /// Forgets an attempt that nobody waits for any longer.
    pub(super) fn forget(&mut self, attempt: AttemptId) {
        if self
            .in_doubt
            .as_ref()
            .is_some_and(|doubt| doubt.attempt == attempt)
        {
            self.in_doubt = None;
        }
    }

    fn expire(&mut self, now: TimeMs, table: &mut TableReads) {
        let expired = self
            .in_flight
            .take_if(|commit| now >= commit.give_up_at.after(COMMIT_SLACK_MS));
        if let Some(commit) = expired {
            table.commit_took(now, commit.began_at);
            self.in_doubt = Some(commit.entry);
        }
    }
}

impl Node {
    /// Begins the next commit, if one is due and none is in flight.
    pub(super) fn begin_commit(&mut self, now: TimeMs, out: &mut Vec<NodeOutput>) {
        self.commits.expire(now, &mut self.table);
        let behind = self.table.seen_epoch > self.state.epoch;
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
        if let Some(entry) = self.commits.in_doubt.take_if(|doubt| doubt.epoch == epoch) {
            return Some(entry);
        }
        if let Some(change) = self.own_change(now) {
            return self.entry_of(change);
        }
        self.commits.command_turn = !self.commits.command_turn;
        if self.commits.command_turn
            && let Some(entry) = self.command_entry(out)
        {
            return Some(entry);
        }
        if let Some(change) = self.placer_change(now)
            && let Some(entry) = self.entry_of(change)
        {
            return Some(entry);
        }
        self.command_entry(out)
    }

    /// Makes the next entry of `change`, or `None` if the change does not fit the state.
    fn entry_of(&mut self, change: Change) -> Option<LogEntry> {
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

    /// Returns the change that this daemon's own membership needs.
    fn own_change(&self, now: TimeMs) -> Option<Change> {
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
            table_is_responsive: self.table.is_quick(now),
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
            self.table.hasten(now);
            return;
        };
        self.table.commit_took(now, commit.began_at);
        match result {
            CommitResult::Committed => {
                self.placer.log_decisions(&commit.entry.change, out);
                self.adopt_entries(now, vec![commit.entry], out);
            }
            CommitResult::Lost => {
                self.table.seen_epoch = self.table.seen_epoch.max(commit.entry.epoch);
                self.commands.lost(attempt);
                self.table.hasten(now);
            }
            CommitResult::Unsettled => {
                self.table.ok = false;
                self.table.hasten(now);
                if commit.entry.epoch > self.state.epoch {
                    self.commits.in_doubt = Some(commit.entry);
                }
            }
        }
    }
}
