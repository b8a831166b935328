//! The platform's table in memory, and the tasks of the daemons that use it.

use super::participants::{Host, service, upstream_address, upstream_name, zone};
use super::world::{Caller, Event, World};
use balsam_decide::control::ControlState;
use balsam_decide::node::{CommitResult, NodeInput, TableResult};
use balsam_types::control::{Instance, InstanceKind, InstanceState, LogEntry};
use balsam_types::{Epoch, TimeMs};
use std::sync::Arc;

/// The time-out of a table read, in milliseconds.
const READ_TIMEOUT_MS: u64 = 3_000;

/// The period at which an unanswered commit is retried, in milliseconds.
const RETRY_MS: u64 = 200;

#[derive(Debug)]
pub struct Table {
    pub entries: Vec<LogEntry>,
    /// The state that results from all entries.
    pub state: ControlState,
    pub down: bool,
}

impl Table {
    pub fn new() -> Self {
        Self {
            entries: Vec::new(),
            state: ControlState::new(),
            down: false,
        }
    }

    pub fn epoch(&self) -> Epoch {
        self.state.epoch
    }

    /// Appends `entry` if its epoch is the next one; an attempt that is already in the log has
    /// succeeded.
    fn write(&mut self, entry: &LogEntry) -> CommitResult {
        if entry.epoch == self.epoch().next() {
            self.state
                .apply(entry)
                .expect("a committed entry fits the log");
            self.entries.push(entry.clone());
            return CommitResult::Committed;
        }
        let index = (entry.epoch.0 - 1) as usize;
        match self.entries.get(index) {
            Some(present) if present.attempt == entry.attempt => CommitResult::Committed,
            _ => CommitResult::Lost,
        }
    }
}

impl World {
    pub fn read_table(&mut self, caller: Caller, after: Epoch) {
        let started_at = self.nodes[caller.node].clock.at(self.t);
        let call = self.new_id();
        self.open_calls.insert(call);
        let read = Event::TableRead(caller, call, after, started_at);
        self.send(Host::Node(caller.node), Host::Table, read, false);
        let failed = NodeInput::TableRead {
            started_at,
            result: TableResult::Failed,
        };
        if self.table.down {
            self.after(5, Event::ReadEnds(caller, call, Box::new(failed)));
            return;
        }
        let ends = Event::ReadEnds(caller, call, Box::new(failed));
        self.after(READ_TIMEOUT_MS, ends);
    }

    pub fn table_read_arrives(
        &mut self,
        caller: Caller,
        call: u64,
        after: Epoch,
        started_at: TimeMs,
    ) {
        if self.table.down {
            return;
        }
        let epoch = self.table.epoch();
        let result = if after.0 == 0 && epoch.0 > 0 && self.chance(20) {
            TableResult::Snapshot {
                epoch,
                state: Box::new(self.table.state.clone()),
                entries: Vec::new(),
            }
        } else {
            let from = (after.0 as usize).min(self.table.entries.len());
            TableResult::Read {
                epoch,
                entries: self.table.entries[from..].to_vec(),
            }
        };
        let input = NodeInput::TableRead { started_at, result };
        let answer = Event::ReadEnds(caller, call, Box::new(input));
        self.send(Host::Table, Host::Node(caller.node), answer, false);
    }

    /// Ends a read with its answer or its time-out, whichever comes first.
    pub fn read_ends(&mut self, caller: Caller, call: u64, input: NodeInput) {
        if self.open_calls.remove(&call) {
            self.input(caller, input);
        }
    }

    pub fn begin_commit(&mut self, caller: Caller, entry: &LogEntry, give_up_at: TimeMs) {
        let now = self.nodes[caller.node].clock.at(self.t);
        let until = self.t + give_up_at.since(now);
        self.nodes[caller.node].commit = Some(entry.attempt.0);
        self.commit_retry(caller, entry, until);
    }

    pub fn commit_retry(&mut self, caller: Caller, entry: &LogEntry, until: u64) {
        if !self.is_alive(caller) || self.nodes[caller.node].commit != Some(entry.attempt.0) {
            return;
        }
        if self.t >= until {
            self.commit_ended(caller, entry, CommitResult::Unsettled);
            return;
        }
        let arrives = Event::CommitArrives(caller, Box::new(entry.clone()));
        self.send(Host::Node(caller.node), Host::Table, arrives, true);
        let retry = Event::CommitRetry(caller, Box::new(entry.clone()), until);
        self.after(RETRY_MS, retry);
    }

    /// Applies the write even if the daemon that sent it has ended, because a message in flight is
    /// not lost with its sender.
    pub fn commit_arrives(&mut self, caller: Caller, entry: &LogEntry) {
        if self.table.down {
            return;
        }
        let result = self.table.write(entry);
        if self.lose_write_answers && self.chance(70) {
            return;
        }
        let input = NodeInput::CommitDone {
            attempt: entry.attempt,
            result,
        };
        let answer = Event::Input(caller, Box::new(input));
        self.send(Host::Table, Host::Node(caller.node), answer, false);
    }

    fn commit_ended(&mut self, caller: Caller, entry: &LogEntry, result: CommitResult) {
        self.nodes[caller.node].commit = None;
        let input = NodeInput::CommitDone {
            attempt: entry.attempt,
            result,
        };
        self.input(caller, input);
    }

    pub fn read_instances(&mut self, caller: Caller) {
        if self.table.down || !self.is_connected(Host::Node(caller.node), Host::Table) {
            return;
        }
        let listed = (0..self.upstreams.len()).map(|index| Instance {
            name: upstream_name(index),
            kind: InstanceKind::Upstream,
            service: Some(service()),
            zone: zone(index),
            address: upstream_address(index),
            slots: 4,
            connections: 10,
            state: if self.upstreams[index].leaving {
                InstanceState::Leaving
            } else {
                InstanceState::Live
            },
            checks_grants: self.checks_grants,
        });
        let input = NodeInput::Instances(Arc::new(listed.collect()));
        self.after(5, Event::Input(caller, Box::new(input)));
    }
}
