//! The handle with which other tasks send messages to the control task.

use balsam_decide::node::{
    CommandFailure, CommandResult, NodeInput, OperatorCommand, UpstreamReport, View,
};
use balsam_types::control::QuarantineEntry;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

/// A message to the control task.
#[derive(Debug)]
pub enum ControlInput {
    /// An input of the node whose sender expects no reply.
    Node(NodeInput),
    /// An operator command, with the channel for its result.
    Command {
        /// The command.
        command: OperatorCommand,
        /// Receives the result; `None` if the sender does not need it.
        reply: Option<oneshot::Sender<CommandResult>>,
    },
}

/// A handle that sends messages to the control task and reads the published view; it is cheap to
/// clone.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    inputs: mpsc::Sender<ControlInput>,
    views: watch::Receiver<Arc<View>>,
}

impl ControlHandle {
    /// Creates a handle that sends to `inputs` and reads `views`.
    pub const fn new(
        inputs: mpsc::Sender<ControlInput>,
        views: watch::Receiver<Arc<View>>,
    ) -> Self {
        Self { inputs, views }
    }

    /// Returns the latest published view.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.views.borrow())
    }

    /// Returns a receiver that observes each newly published view.
    pub fn views(&self) -> watch::Receiver<Arc<View>> {
        self.views.clone()
    }

    /// Submits an operator command and waits for its result for at most `time_limit`.
    pub async fn command(&self, command: OperatorCommand, time_limit: Duration) -> CommandResult {
        let (reply, result) = oneshot::channel();
        let input = ControlInput::Command {
            command,
            reply: Some(reply),
        };
        match self.inputs.try_send(input) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => return CommandResult::Refused(CommandFailure::Busy),
            Err(TrySendError::Closed(_)) => {
                return CommandResult::Refused(CommandFailure::Stopping);
            }
        }
        match timeout(time_limit, result).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => CommandResult::Refused(CommandFailure::Stopping),
            Err(_) => CommandResult::Refused(CommandFailure::Unsettled),
        }
    }

    /// Requests that all daemons refuse a request because it crashes upstreams.
    pub fn quarantine(&self, entry: QuarantineEntry) {
        let command = OperatorCommand::Quarantine { entry };
        self.try_submit(ControlInput::Command {
            command,
            reply: None,
        });
    }

    /// Reports the load of an upstream whose dispatcher is this daemon.
    pub fn report_load(&self, report: UpstreamReport) {
        self.try_submit(ControlInput::Node(NodeInput::Load(report)));
    }

    /// Makes the node leave the roster.
    pub async fn stop(&self) {
        // Sending fails only if the control task has already ended.
        let _ = self.inputs.send(ControlInput::Node(NodeInput::Stop)).await;
    }

    /// Sends `input`, or drops it if the queue is full. Senders repeat their reports, so that a
    /// dropped one does no lasting harm.
    fn try_submit(&self, input: ControlInput) {
        if self.inputs.try_send(input).is_err() {
            log::debug!("dropped a message: the queue of the control task is full or closed");
        }
    }
}
