//! Results of operator commands, and the bodies of simple commands.

use super::{ErrorResponse, IdText};
use balsam_decide::node::CommandResult;
use balsam_types::Epoch;
use serde::{Deserialize, Serialize};

/// The progress of a committed change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommandState {
    /// The change is in force: a majority of each open roster has adopted it.
    Accepted,
    /// The change is committed durably, but no majority has adopted it yet.
    Pending,
}

/// The response to a command that changed the control state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandResponse {
    /// The progress of the change.
    pub state: CommandState,
    /// The epoch of the change.
    pub epoch: Epoch,
    /// Whether every daemon in the roster has adopted the change or lost its lease.
    pub everywhere: bool,
}

impl TryFrom<CommandResult> for CommandResponse {
    type Error = ErrorResponse;

    fn try_from(result: CommandResult) -> Result<Self, ErrorResponse> {
        match result {
            CommandResult::Accepted { epoch, everywhere } => Ok(Self {
                state: CommandState::Accepted,
                epoch,
                everywhere,
            }),
            CommandResult::Pending { epoch } => Ok(Self {
                state: CommandState::Pending,
                epoch,
                everywhere: false,
            }),
            CommandResult::Refused(failure) => Err(failure.into()),
        }
    }
}

/// The body of `POST /v1/upstreams/{name}/drain`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    /// Whether to drain the upstream; `false` cancels a drain.
    pub drain: bool,
}

/// The body of `POST /v1/roster/forget`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ForgetRequest {
    /// The incarnation of the dead daemon to remove from the roster.
    pub incarnation: IdText,
}
