//! The handles that the endpoints share.

use crate::config::Credential;
use crate::control::decide::ControlHandle;
use crate::metrics::MetricsText;
use balsam_decide::node::{CommandResult, OperatorCommand};
use balsam_wire::operator::{CommandResponse, ErrorResponse};
use std::time::Duration;

/// The time limit of a command whose result is sent as soon as a majority of the roster has adopted
/// the change.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(15);

/// The time limit of an edit whose result is sent only when it is in force at every daemon.
const EVERYWHERE_TIMEOUT: Duration = Duration::from_secs(30);

/// The handles that the endpoints use; cheap to clone for each request.
#[derive(Clone, Debug)]
pub struct OperatorContext<C> {
    /// The handle of the control task.
    pub control: ControlHandle,
    /// The clock by which the freshness lease is timed.
    pub clock: C,
    /// The credential that every request must carry.
    pub credential: Credential,
    /// The exporter of the metrics.
    pub metrics: MetricsText,
}

impl<C> OperatorContext<C> {
    /// Submits a command to the node and waits for its result.
    pub(super) async fn command(
        &self,
        command: OperatorCommand,
    ) -> Result<CommandResponse, ErrorResponse> {
        let wait = match &command {
            OperatorCommand::Edit { wait: true, .. } => EVERYWHERE_TIMEOUT,
            OperatorCommand::Edit { .. }
            | OperatorCommand::Drain { .. }
            | OperatorCommand::Forget { .. }
            | OperatorCommand::ClearQuarantine { .. }
            | OperatorCommand::Quarantine { .. } => COMMAND_TIMEOUT,
        };
        let result: CommandResult = self.control.command(command, wait).await;
        CommandResponse::try_from(result)
    }
}
