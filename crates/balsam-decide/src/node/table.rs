//! Table reads and the adoption of changes.

use super::{ChangesBody, Decision, Node, NodeOutput, TableResult};
use crate::control::ControlState;
use balsam_types::control::{Change, LogEntry, RemovalReason};
use balsam_types::timing::{HEARTBEAT_INTERVAL_MS, LEASE_TTL_MS, SNAPSHOT_INTERVAL_EPOCHS};
use balsam_types::{Epoch, Incarnation, TimeMs};
use std::sync::Arc;

/// The time-out of a table read, in milliseconds.
///
/// A slower read cannot extend the lease. A result that still arrives is used nevertheless, which
/// is safe because the lease is dated from the start of its read.
const READ_TIMEOUT_MS: u64 = 1_000;

/// The age of the last confirming table read from which acknowledgements are collected too, in
/// milliseconds.
///
/// It leaves time for two heartbeat rounds before a lease of [`LEASE_TTL_MS`] expires.
const FRESH_READ_MS: u64 = LEASE_TTL_MS / 2;

/// How long a slow commit makes the table count as slow, in milliseconds.
///
/// The placer rebalances only while the table is responsive. Without this limit, a placer that has
/// nothing else to commit would never rebalance again.
const SLOW_COMMIT_MS: u64 = 10_000;

/// The period of the reads of the instance list, in milliseconds.
const INSTANCES_PERIOD_MS: u64 = 1_000;

/// The reads of row `control`, at most one at a time.
#[derive(Debug)]
pub(super) struct TableReads {
    in_flight_since: Option<TimeMs>,
    next_at: TimeMs,
    /// How long the last successful read took, in milliseconds.
    last_read_ms: u64,
    /// When the last commit ended that was slow or had no result.
    slow_commit_at: Option<TimeMs>,
    /// Whether the last read succeeded.
    pub(super) ok: bool,
    /// When the last read began that confirmed the node's epoch as the newest.
    pub(super) confirmed_at: Option<TimeMs>,
    /// The newest epoch that the table is known to hold.
    pub(super) newest_known_epoch: Epoch,
}

impl TableReads {
    pub(super) const fn new(now: TimeMs) -> Self {
        Self {
            in_flight_since: None,
            next_at: now,
            last_read_ms: 0,
            slow_commit_at: None,
            ok: false,
            confirmed_at: None,
            newest_known_epoch: Epoch(0),
        }
    }

    /// Returns whether table reads alone renew the lease.
    pub(super) fn is_fresh(&self, now: TimeMs) -> bool {
        let age_ms = self.confirmed_at.map(|at| now.since(at));
        self.ok && age_ms.is_some_and(|age_ms| age_ms < FRESH_READ_MS)
    }

    /// Returns whether the last read and all recent commits took less than a heartbeat period.
    pub(super) fn is_responsive(&self, now: TimeMs) -> bool {
        let in_flight = self.in_flight_since;
        let slow_commit = self.slow_commit_at;
        self.ok
            && self.last_read_ms < HEARTBEAT_INTERVAL_MS
            && in_flight.is_none_or(|since| now.since(since) < HEARTBEAT_INTERVAL_MS)
            && slow_commit.is_none_or(|at| now.since(at) >= SLOW_COMMIT_MS)
    }

    /// Records the duration of a commit that started at `began_at`.
    pub(super) fn record_commit_duration(&mut self, now: TimeMs, began_at: TimeMs) {
        if now.since(began_at) >= HEARTBEAT_INTERVAL_MS {
            self.slow_commit_at = Some(now);
        }
    }

    /// Makes a read due at once.
    pub(super) fn read_soon(&mut self, now: TimeMs) {
        self.next_at = self.next_at.min(now);
    }
}

impl Node {
    pub(super) fn read_table(&mut self, now: TimeMs, out: &mut Vec<NodeOutput>) {
        let table = &mut self.table;
        if let Some(since) = table.in_flight_since {
            if now.since(since) < READ_TIMEOUT_MS {
                return;
            }
            table.ok = false;
        }
        if now < table.next_at {
            return;
        }
        table.in_flight_since = Some(now);
        table.next_at = now.after(HEARTBEAT_INTERVAL_MS);
        out.push(NodeOutput::ReadTable {
            after: self.state.epoch,
        });
    }

    pub(super) fn read_instances(&mut self, now: TimeMs, out: &mut Vec<NodeOutput>) {
        if self.is_placer() && now >= self.next_instances_at {
            self.next_instances_at = now.after(INSTANCES_PERIOD_MS);
            out.push(NodeOutput::ReadInstances);
        }
    }

    /// Handles the result of a table read.
    pub(super) fn table_read(
        &mut self,
        now: TimeMs,
        started_at: TimeMs,
        result: TableResult,
        out: &mut Vec<NodeOutput>,
    ) {
        // The result of a read that has timed out must not end the read in flight.
        self.table
            .in_flight_since
            .take_if(|since| *since <= started_at);
        let (epoch, entries) = match result {
            TableResult::Failed => {
                self.table.ok = false;
                return;
            }
            TableResult::Read { epoch, entries } => (epoch, entries),
            TableResult::Snapshot {
                epoch,
                state,
                entries,
            } => {
                self.adopt_snapshot(now, *state, out);
                (epoch, entries)
            }
        };
        self.table.ok = true;
        self.table.last_read_ms = now.since(started_at);
        self.table.newest_known_epoch = self.table.newest_known_epoch.max(epoch);
        self.adopt_entries(now, entries, out);
        self.due.decide = true;
        if self.state.epoch >= epoch {
            // Nobody waits for the lease of a daemon that is in no roster.
            if self.is_member() {
                self.lease.table_confirmed(now, started_at);
            }
            self.table.confirmed_at = self.table.confirmed_at.max(Some(started_at));
        } else {
            self.table.read_soon(now);
        }
    }

    pub(super) fn changes(&mut self, now: TimeMs, body: ChangesBody, out: &mut Vec<NodeOutput>) {
        self.fetching_until = now;
        match body {
            ChangesBody::Entries(entries) => self.adopt_entries(now, entries, out),
            ChangesBody::Snapshot(state) => self.adopt_snapshot(now, *state, out),
        }
    }

    fn adopt_snapshot(&mut self, now: TimeMs, state: ControlState, out: &mut Vec<NodeOutput>) {
        if state.epoch <= self.state.epoch {
            return;
        }
        self.state = Arc::new(state);
        self.log.clear();
        self.adopted(now, None, out);
    }

    /// Applies the entries that follow the node's epoch and skips those that it already has.
    pub(super) fn adopt_entries(
        &mut self,
        now: TimeMs,
        entries: Vec<LogEntry>,
        out: &mut Vec<NodeOutput>,
    ) {
        let mut newest_author = None;
        for entry in entries {
            if entry.epoch <= self.state.epoch {
                continue;
            }
            // A committed entry that does not apply means that the log is damaged. The node then
            // stays at its epoch, loses its lease and reports that it is not ready.
            let replaced = match &entry.change {
                Change::DaemonJoined { daemon } => self.state.replaced_by(daemon),
                _ => Vec::new(),
            };
            if Arc::make_mut(&mut self.state).apply(&entry).is_err() {
                break;
            }
            log_removed(&replaced, RemovalReason::Replaced, out);
            newest_author = Some(entry.author);
            self.applied(now, &entry, out);
            self.log.push(entry);
        }
        if newest_author.is_some() {
            self.adopted(now, newest_author, out);
        }
    }

    fn applied(&mut self, now: TimeMs, entry: &LogEntry, out: &mut Vec<NodeOutput>) {
        self.commands.entry_adopted(now, entry);
        self.commits.entry_adopted(entry);
        self.placer.entry_adopted(now, entry);
        log_change(entry, out);
        let snapshot_due = entry.epoch.0.is_multiple_of(SNAPSHOT_INTERVAL_EPOCHS);
        if snapshot_due && self.is_placer() {
            out.push(NodeOutput::WriteSnapshot(Arc::clone(&self.state)));
        }
    }

    /// Updates all parts of the node after a new epoch and tells the daemons that wait for its
    /// adoption.
    fn adopted(&mut self, now: TimeMs, author: Option<Incarnation>, out: &mut Vec<NodeOutput>) {
        self.table.newest_known_epoch = self.table.newest_known_epoch.max(self.state.epoch);
        self.due.decide = true;
        self.due.follow = true;
        self.membership.follow(now, &self.state);
        self.placer.follow(now, &self.state);
        self.observe_adoption(now);
        if author == Some(self.me.incarnation) {
            // Heartbeats are sent to all peers at once, because a command may wait for the change's
            // adoption.
            self.next_heartbeat_at = now;
        } else {
            self.announce_epoch(now, author, out);
        }
    }
}

/// Logs the decisions of the change's author; the placer logs its moves itself.
fn log_change(entry: &LogEntry, out: &mut Vec<NodeOutput>) {
    match &entry.change {
        Change::PlacerTaken { incarnation } => out.push(NodeOutput::Log(Decision::Placer {
            incarnation: *incarnation,
        })),
        Change::DaemonsRemoved {
            incarnations,
            reason,
        } => log_removed(incarnations, *reason, out),
        _ => {}
    }
}

fn log_removed(incarnations: &[Incarnation], reason: RemovalReason, out: &mut Vec<NodeOutput>) {
    out.extend(incarnations.iter().map(|incarnation| {
        NodeOutput::Log(Decision::DaemonRemoved {
            incarnation: *incarnation,
            reason,
        })
    }));
}
