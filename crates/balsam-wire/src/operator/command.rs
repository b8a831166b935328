//! Commands and their results.

use super::{ErrorResponse, IdText};
use balsam_decide::node::CommandResult;
use balsam_types::Epoch;
use serde::{Deserialize, Serialize};

/// How far a committed change has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommandState {
    /// The change is in force: a majority of each open roster has adopted it.
    Accepted,
    /// The change is committed and stays, but no majority has adopted it yet.
    Pending,
}

/// The answer to a command that changed something.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandResponse {
    /// How far the change has come.
    pub state: CommandState,
    /// The epoch of the change.
    pub epoch: Epoch,
    /// Whether every roster daemon has adopted the change or has lost its right.
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

/// Body of `POST /v1/upstreams/{name}/drain`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    /// Whether to drain the upstream; `false` takes the drain back.
    pub drain: bool,
}

/// Body of `POST /v1/roster/forget`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ForgetRequest {
    /// The daemon that is known to be dead.
    pub incarnation: IdText,
}
