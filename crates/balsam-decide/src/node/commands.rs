//! Operator commands, from their arrival to their answer.

use super::{CommandFailure, CommandResult, Node, NodeOutput, OperatorCommand, RequestId};
use crate::control::{ApplyError, ControlState};
use balsam_types::control::{Change, LogEntry, RemovalReason, UpstreamInfo, UpstreamStatus};
use balsam_types::{AttemptId, Epoch, Incarnation, TimeMs};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Commands that wait at once; more are refused as busy.
const COMMANDS_MAX: usize = 64;

/// How long a command waits for its commit, in milliseconds.
const COMMIT_WAIT_MS: u64 = 5_000;

/// How long a committed command waits for a majority, in milliseconds.
const MAJORITY_WAIT_MS: u64 = 3_000;

/// How long a committed command with `wait` waits for all daemons, in milliseconds.
const EVERYWHERE_WAIT_MS: u64 = 6_000;

#[derive(Clone, Copy, Debug)]
enum Stage {
    Queued,
    Committing { attempt: AttemptId, epoch: Epoch },
    Committed { epoch: Epoch, at: TimeMs },
}

#[derive(Debug)]
struct Waiting {
    command: OperatorCommand,
    since: TimeMs,
    stage: Stage,
}

impl Waiting {
    /// Returns whether a daemon at `epoch` knows each version that the command is based on.
    ///
    /// A later version may have been committed through another daemon. Only a table read that
    /// began after the command arrived shows that it does not exist.
    fn can_judge(&self, epoch: Epoch, confirmed_at: Option<TimeMs>) -> bool {
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

/// The commands that have no answer yet, in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct Commands {
    waiting: BTreeMap<RequestId, Waiting>,
}

impl Commands {
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Returns the oldest command that is to be committed and whose versions can be judged.
    pub(super) fn next_queued(
        &self,
        epoch: Epoch,
        confirmed_at: Option<TimeMs>,
    ) -> Option<RequestId> {
        let ready = |(_, waiting): &(&RequestId, &Waiting)| {
            matches!(waiting.stage, Stage::Queued) && waiting.can_judge(epoch, confirmed_at)
        };
        self.waiting.iter().find(ready).map(|(request, _)| *request)
    }

    /// Makes the log entry of a queued command.
    ///
    /// The command ends with the returned result if it changes nothing.
    pub(super) fn entry(
        &mut self,
        request: RequestId,
        state: &ControlState,
        author: Incarnation,
        attempt: AttemptId,
    ) -> Result<LogEntry, CommandResult> {
        let Some(waiting) = self.waiting.get_mut(&request) else {
            return Err(CommandResult::Refused(CommandFailure::Busy));
        };
        let epoch = state.epoch.next();
        let entry = change_of(&waiting.command, state).and_then(|change| {
            let entry = LogEntry {
                epoch,
                attempt,
                author,
                change,
            };
            match state.clone().apply(&entry) {
                Ok(()) => Ok(entry),
                Err(error) => Err(CommandResult::Refused(failure_of(error))),
            }
        });
        match entry {
            Ok(entry) => {
                waiting.stage = Stage::Committing { attempt, epoch };
                Ok(entry)
            }
            Err(result) => {
                self.waiting.remove(&request);
                Err(result)
            }
        }
    }

    /// Puts a command back whose commit lost its epoch to another change.
    pub(super) fn lost(&mut self, lost: AttemptId) {
        for waiting in self.waiting.values_mut() {
            if matches!(waiting.stage, Stage::Committing { attempt, .. } if attempt == lost) {
                waiting.stage = Stage::Queued;
            }
        }
    }

    /// Settles the commands that wait for this entry's epoch.
    pub(super) fn entry_adopted(&mut self, now: TimeMs, entry: &LogEntry) {
        for waiting in self.waiting.values_mut() {
            let Stage::Committing { attempt, epoch } = waiting.stage else {
                continue;
            };
            if attempt == entry.attempt {
                let epoch = entry.epoch;
                waiting.stage = Stage::Committed { epoch, at: now };
            } else if epoch <= entry.epoch {
                waiting.stage = Stage::Queued;
            }
        }
    }
}

/// Returns the change of a command, or how it ends without one.
fn change_of(command: &OperatorCommand, state: &ControlState) -> Result<Change, CommandResult> {
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

/// A lost upstream stays lost; the drain then takes effect when it answers again.
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

fn failure_of(error: ApplyError) -> CommandFailure {
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
        } else if self.commands.waiting.len() >= COMMANDS_MAX {
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
        let waiting = Waiting {
            command,
            since: now,
            stage: Stage::Queued,
        };
        if waiting.base_version() > self.state.epoch {
            self.table.hasten(now);
        }
        self.commands.waiting.insert(request, waiting);
    }

    /// Answers the commands whose result is known or whose wait is over.
    pub(super) fn settle_commands(&mut self, now: TimeMs, out: &mut Vec<NodeOutput>) {
        let settled: Vec<(RequestId, Stage, CommandResult)> = self
            .commands
            .waiting
            .iter()
            .filter_map(|(request, waiting)| {
                let result = self.result_of(now, waiting)?;
                Some((*request, waiting.stage, result))
            })
            .collect();
        for (request, stage, result) in settled {
            self.commands.waiting.remove(&request);
            if let Stage::Committing { attempt, .. } = stage {
                self.commits.forget(attempt);
            }
            out.push(NodeOutput::AnswerCommand { request, result });
        }
    }

    /// Answers all commands, because the daemon ends.
    pub(super) fn refuse_commands(&mut self, out: &mut Vec<NodeOutput>) {
        let waiting = std::mem::take(&mut self.commands.waiting);
        out.extend(waiting.into_iter().map(|(request, waiting)| {
            let result = match waiting.stage {
                Stage::Queued => CommandResult::Refused(CommandFailure::Stopping),
                Stage::Committing { .. } => CommandResult::Refused(CommandFailure::Unsettled),
                Stage::Committed { epoch, .. } => CommandResult::Pending { epoch },
            };
            NodeOutput::AnswerCommand { request, result }
        }));
    }

    fn result_of(&self, now: TimeMs, waiting: &Waiting) -> Option<CommandResult> {
        let over = |since: TimeMs, wait_ms| now.since(since) >= wait_ms;
        let (epoch, at) = match waiting.stage {
            Stage::Queued => {
                let failure = CommandFailure::TableUnavailable;
                return over(waiting.since, COMMIT_WAIT_MS)
                    .then_some(CommandResult::Refused(failure));
            }
            Stage::Committing { .. } => {
                let failure = CommandFailure::Unsettled;
                return over(waiting.since, COMMIT_WAIT_MS)
                    .then_some(CommandResult::Refused(failure));
            }
            Stage::Committed { epoch, at } => (epoch, at),
        };
        let accepted = self.adoption.adopted() >= epoch;
        let everywhere = self.is_everywhere(now, epoch);
        let wait = matches!(waiting.command, OperatorCommand::Edit { wait: true, .. });
        if accepted && (everywhere || !wait || over(at, EVERYWHERE_WAIT_MS)) {
            return Some(CommandResult::Accepted { epoch, everywhere });
        }
        let patience_ms = if wait {
            EVERYWHERE_WAIT_MS
        } else {
            MAJORITY_WAIT_MS
        };
        over(at, patience_ms).then_some(CommandResult::Pending { epoch })
    }

    /// Returns whether each daemon that may hold a right has adopted `epoch`.
    ///
    /// A daemon that was removed or has left may still hold a right while its roster is open.
    fn is_everywhere(&self, now: TimeMs, epoch: Epoch) -> bool {
        let has_adopted = |daemon: &Incarnation| {
            *daemon == self.me.incarnation || self.membership.epoch_of(daemon) >= epoch
        };
        let rosters = &self.state.open_rosters;
        let mut daemons = rosters.iter().flat_map(|roster| &roster.members);
        self.adoption.lapsed(now) >= epoch || daemons.all(has_adopted)
    }
}
