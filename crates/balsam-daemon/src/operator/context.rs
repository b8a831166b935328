//! What the endpoints work with.

use crate::config::Credential;
use crate::control::decide::ControlHandle;
use crate::metrics::MetricsText;
use balsam_decide::node::{CommandResult, OperatorCommand};
use balsam_wire::operator::{CommandResponse, ErrorResponse};
use std::time::Duration;

/// The wait for a command that is answered as soon as a majority has adopted it.
const COMMAND_WAIT: Duration = Duration::from_secs(15);

/// The wait for an edit that must be in force at every daemon.
const EVERYWHERE_WAIT: Duration = Duration::from_secs(30);

/// The handles that the endpoints use; cheap to clone for each request.
#[derive(Clone, Debug)]
pub struct OperatorContext<C> {
    /// The control task.
    pub control: ControlHandle,
    /// The clock of the freshness right.
    pub clock: C,
    /// The secret that every request must carry.
    pub credential: Credential,
    /// The metrics.
    pub metrics: MetricsText,
}

impl<C> OperatorContext<C> {
    /// Gives a command to the node and waits for its result.
    pub(super) async fn command(
        &self,
        command: OperatorCommand,
    ) -> Result<CommandResponse, ErrorResponse> {
        let wait = match &command {
            OperatorCommand::Edit { wait: true, .. } => EVERYWHERE_WAIT,
            OperatorCommand::Edit { .. }
            | OperatorCommand::Drain { .. }
            | OperatorCommand::Forget { .. }
            | OperatorCommand::ClearQuarantine { .. }
            | OperatorCommand::Quarantine { .. } => COMMAND_WAIT,
        };
        let result: CommandResult = self.control.command(command, wait).await;
        CommandResponse::try_from(result)
    }
}
