//! Operator commands, from their arrival to their answer.

use super::{CommandFailure, CommandResult, Node, NodeOutput, OperatorCommand, RequestId};
use crate::control::{ApplyError, ControlState};
use balsam_types::control::{Change, LogEntry, RemovalReason, UpstreamInfo, UpstreamStatus};
use balsam_types::{AttemptId, Epoch, Incarnation, TimeMs};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The maximum number of pending commands; further commands are refused as busy.
const PENDING_COMMANDS_MAX: usize = 64;

/// How long a command waits for its commit, in milliseconds.
const COMMIT_WAIT_MS: u64 = 5_000;

/// How long a committed command waits for adoption by a majority, in milliseconds.
const MAJORITY_WAIT_MS: u64 = 3_000;

/// How long a committed command with `wait` waits for adoption by all daemons, in milliseconds.
const EVERYWHERE_WAIT_MS: u64 = 6_000;

/// The stage of a pending command.
#[derive(Clone, Copy, Debug)]
enum Stage {
    Queued,
    Committing { attempt: AttemptId, epoch: Epoch },
    Committed { epoch: Epoch, at: TimeMs },
}

/// A command that has no answer yet.
#[derive(Debug)]
struct PendingCommand {
    command: OperatorCommand,
    since: TimeMs,
    stage: Stage,
}

impl PendingCommand {
    /// Returns whether a daemon that has adopted `epoch` can tell if the versions that the command
    /// is based on exist.
    ///
    /// A version newer than `epoch` may have been committed through another daemon. Only a table
    /// read that began after the command arrived shows that it does not exist.
    fn can_validate(&self, epoch: Epoch, confirmed_at: Option<TimeMs>) -> bool {
        self.base_version() <= epoch || confirmed_at.is_some_and(|at| at > self.since)
    }

    /// Returns the newest version that the command is based on.
    fn base_version(&self) -> Epoch {
        match &self.command {
            OperatorCommand::Edit { edits, .. } => {
                let versions = edits.iter().map(|edit| edit.base_version);
                versions.max().unwrap_or(Epoch(0))
            }
            _ => Epoch(0),
        }
    }
}

/// The unanswered commands in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct Commands {
    pending: BTreeMap<RequestId, PendingCommand>,
}

impl Commands {
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Returns the oldest queued command whose base versions can be validated.
    pub(super) fn next_queued(
        &self,
        epoch: Epoch,
        confirmed_at: Option<TimeMs>,
    ) -> Option<RequestId> {
        let ready = |(_, pending): &(&RequestId, &PendingCommand)| {
            matches!(pending.stage, Stage::Queued) && pending.can_validate(epoch, confirmed_at)
        };
        self.pending.iter().find(ready).map(|(request, _)| *request)
    }

    /// Creates the log entry of a queued command.
    ///
    /// If the command changes nothing, it is removed and its result is returned as the error.
    pub(super) fn entry(
        &mut self,
        request: RequestId,
        state: &ControlState,
        author: Incarnation,
        attempt: AttemptId,
    ) -> Result<LogEntry, CommandResult> {
        let Some(pending) = self.pending.get_mut(&request) else {
            return Err(CommandResult::Refused(CommandFailure::Busy));
        };
        let epoch = state.epoch.next();
        let entry = command_change(&pending.command, state).and_then(|change| {
            let entry = LogEntry {
                epoch,
                attempt,
                author,
                change,
            };
            match state.clone().apply(&entry) {
                Ok(()) => Ok(entry),
                Err(error) => Err(CommandResult::Refused(apply_failure(error))),
            }
        });
        match entry {
            Ok(entry) => {
                pending.stage = Stage::Committing { attempt, epoch };
                Ok(entry)
            }
            Err(result) => {
                self.pending.remove(&request);
                Err(result)
            }
        }
    }

    /// Queues the command again whose commit lost its epoch to another change.
    pub(super) fn lost(&mut self, lost: AttemptId) {
        for pending in self.pending.values_mut() {
            if matches!(pending.stage, Stage::Committing { attempt, .. } if attempt == lost) {
                pending.stage = Stage::Queued;
            }
        }
    }

    /// Updates the commands that wait for the epoch of an adopted entry.
    pub(super) fn entry_adopted(&mut self, now: TimeMs, entry: &LogEntry) {
        for pending in self.pending.values_mut() {
            let Stage::Committing { attempt, epoch } = pending.stage else {
                continue;
            };
            if attempt == entry.attempt {
                let epoch = entry.epoch;
                pending.stage = Stage::Committed { epoch, at: now };
            } else if epoch <= entry.epoch {
                pending.stage = Stage::Queued;
            }
        }
    }
}

/// Returns the change of a command, or the command's result if it changes nothing.
fn command_change(
    command: &OperatorCommand,
    state: &ControlState,
) -> Result<Change, CommandResult> {
    match command {
        OperatorCommand::Edit { edits, .. } => Ok(Change::Settings {
            edits: edits.clone(),
        }),
        OperatorCommand::Drain { upstream, drain } => {
            let known = state.upstreams.get(upstream);
            let info = known.ok_or_else(|| not_found(upstream.as_str()))?;
            Ok(Change::UpstreamsChanged {
                upstreams: vec![drained(info, *drain)],
            })
        }
        OperatorCommand::Forget { incarnation } => {
            let known =
                state.daemons.contains_key(incarnation) || state.silent.contains_key(incarnation);
            if !known {
                return Err(not_found(&incarnation.to_string()));
            }
            Ok(Change::DaemonsRemoved {
                incarnations: vec![*incarnation],
                reason: RemovalReason::Forgotten,
            })
        }
        OperatorCommand::ClearQuarantine { fingerprint } => {
            if !state.quarantine.contains_key(fingerprint) {
                return Err(not_found(&fingerprint.to_string()));
            }
            Ok(Change::QuarantineCleared {
                fingerprint: *fingerprint,
            })
        }
        OperatorCommand::Quarantine { entry } => Ok(Change::Quarantined {
            entry: entry.clone(),
        }),
    }
}

/// Returns the upstream with its drain set or cancelled.
///
/// A lost upstream keeps its status; the drain takes effect when it answers again.
fn drained(info: &UpstreamInfo, drain: bool) -> UpstreamInfo {
    let status = match (info.status, drain) {
        (UpstreamStatus::Lost, _) => UpstreamStatus::Lost,
        (_, true) => UpstreamStatus::Draining,
        (_, false) => UpstreamStatus::Active,
    };
    UpstreamInfo {
        status,
        drained_by_operator: drain,
        ..info.clone()
    }
}

fn not_found(subject: &str) -> CommandResult {
    CommandResult::Refused(CommandFailure::NotFound {
        subject: Arc::from(subject),
    })
}

fn apply_failure(error: ApplyError) -> CommandFailure {
    match error {
        ApplyError::Settings { source } => CommandFailure::Settings { source },
        other => CommandFailure::NotFound {
            subject: Arc::from(other.to_string()),
        },
    }
}

impl Node {
    pub(super) fn command(
        &mut self,
        now: TimeMs,
        request: RequestId,
        command: OperatorCommand,
        out: &mut Vec<NodeOutput>,
    ) {
        let refusal = if self.is_leaving() {
            Some(CommandFailure::Stopping)
        } else if self.commands.pending.len() >= PENDING_COMMANDS_MAX {
            Some(CommandFailure::Busy)
        } else {
            None
        };
        if let Some(failure) = refusal {
            let result = CommandResult::Refused(failure);
            out.push(NodeOutput::AnswerCommand { request, result });
            return;
        }
        self.due.decide = true;
        let pending = PendingCommand {
            command,
            since: now,
            stage: Stage::Queued,
        };
        if pending.base_version() > self.state.epoch {
            self.table.read_soon(now);
        }
        self.commands.pending.insert(request, pending);
    }

    /// Answers the commands whose result is known or whose time-out has passed.
    pub(super) fn settle_commands(&mut self, now: TimeMs, out: &mut Vec<NodeOutput>) {
        let settled: Vec<(RequestId, Stage, CommandResult)> = self
            .commands
            .pending
            .iter()
            .filter_map(|(request, pending)| {
                let result = self.result_of(now, pending)?;
                Some((*request, pending.stage, result))
            })
            .collect();
        for (request, stage, result) in settled {
            self.commands.pending.remove(&request);
            if let Stage::Committing { attempt, .. } = stage {
                self.commits.forget(attempt);
            }
            out.push(NodeOutput::AnswerCommand { request, result });
        }
    }

    /// Answers all pending commands because the daemon exits.
    pub(super) fn refuse_commands(&mut self, out: &mut Vec<NodeOutput>) {
        let pending = std::mem::take(&mut self.commands.pending);
        out.extend(pending.into_iter().map(|(request, pending)| {
            let result = match pending.stage {
                Stage::Queued => CommandResult::Refused(CommandFailure::Stopping),
                Stage::Committing { .. } => CommandResult::Refused(CommandFailure::Unsettled),
                Stage::Committed { epoch, .. } => CommandResult::Pending { epoch },
            };
            NodeOutput::AnswerCommand { request, result }
        }));
    }

    fn result_of(&self, now: TimeMs, pending: &PendingCommand) -> Option<CommandResult> {
        let has_elapsed = |since: TimeMs, wait_ms| now.since(since) >= wait_ms;
        let (epoch, at) = match pending.stage {
            Stage::Queued => {
                let failure = CommandFailure::TableUnavailable;
                return has_elapsed(pending.since, COMMIT_WAIT_MS)
                    .then_some(CommandResult::Refused(failure));
            }
            Stage::Committing { .. } => {
                let failure = CommandFailure::Unsettled;
                return has_elapsed(pending.since, COMMIT_WAIT_MS)
                    .then_some(CommandResult::Refused(failure));
            }
            Stage::Committed { epoch, at } => (epoch, at),
        };
        let accepted = self.adoption.adopted() >= epoch;
        let everywhere = self.is_everywhere(now, epoch);
        let wait = matches!(pending.command, OperatorCommand::Edit { wait: true, .. });
        if accepted && (everywhere || !wait || has_elapsed(at, EVERYWHERE_WAIT_MS)) {
            return Some(CommandResult::Accepted { epoch, everywhere });
        }
        let timeout_ms = if wait {
            EVERYWHERE_WAIT_MS
        } else {
            MAJORITY_WAIT_MS
        };
        has_elapsed(at, timeout_ms).then_some(CommandResult::Pending { epoch })
    }

    /// Returns whether each daemon that may hold a lease has adopted `epoch`.
    ///
    /// A daemon that was removed or has left may still hold a lease while a roster with it is open.
    fn is_everywhere(&self, now: TimeMs, epoch: Epoch) -> bool {
        let has_adopted = |daemon: &Incarnation| {
            *daemon == self.me.incarnation || self.membership.epoch_of(daemon) >= epoch
        };
        let rosters = &self.state.open_rosters;
        let mut daemons = rosters.iter().flat_map(|roster| &roster.members);
        self.adoption.lapsed(now) >= epoch || daemons.all(has_adopted)
    }
}
