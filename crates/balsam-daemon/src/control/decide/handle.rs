//! The handle through which other tasks reach the control task.

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
    /// An input of the node that waits for no answer.
    Node(NodeInput),
    /// A command, with the channel for its result.
    Command {
        /// The command.
        command: OperatorCommand,
        /// Where the result goes; `None` if no one waits for it.
        reply: Option<oneshot::Sender<CommandResult>>,
    },
}

/// A cheap handle that sends messages to the control task and reads the view.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    inputs: mpsc::Sender<ControlInput>,
    views: watch::Receiver<Arc<View>>,
}

impl ControlHandle {
    /// Makes a handle that sends to `inputs` and reads `views`.
    pub const fn new(
        inputs: mpsc::Sender<ControlInput>,
        views: watch::Receiver<Arc<View>>,
    ) -> Self {
        Self { inputs, views }
    }

    /// Returns the newest view.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.views.borrow())
    }

    /// Returns a receiver of all later views.
    pub fn views(&self) -> watch::Receiver<Arc<View>> {
        self.views.clone()
    }

    /// Gives an operator's command and waits for its result.
    pub async fn command(&self, command: OperatorCommand, wait: Duration) -> CommandResult {
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
        match timeout(wait, result).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => CommandResult::Refused(CommandFailure::Stopping),
            Err(_) => CommandResult::Refused(CommandFailure::Unsettled),
        }
    }

    /// Asks for a request to be refused everywhere because it crashes upstreams.
    pub fn quarantine(&self, entry: QuarantineEntry) {
        let command = OperatorCommand::Quarantine { entry };
        self.submit(ControlInput::Command {
            command,
            reply: None,
        });
    }

    /// Reports the load of an upstream that this daemon dispatches for.
    pub fn report_load(&self, report: UpstreamReport) {
        self.submit(ControlInput::Node(NodeInput::Load(report)));
    }

    /// Tells the node to leave the roster.
    pub async fn stop(&self) {
        // A closed channel means that the control task has ended already.
        let _ = self.inputs.send(ControlInput::Node(NodeInput::Stop)).await;
    }

    /// Drops the message if the queue is full; reports are repeated by their senders.
    fn submit(&self, input: ControlInput) {
        if self.inputs.try_send(input).is_err() {
            log::debug!("the queue of the control task is full");
        }
    }
}
