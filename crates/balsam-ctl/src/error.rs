//! Why a command failed, what the operator can do, and the exit code.

use balsam_types::NameError;
use balsam_types::settings::{NodePath, NodePathError, ValueError};
use balsam_wire::operator::{ErrorCode, ErrorResponse};
use serde_json::{Value, json};
use snafu::Snafu;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The exit code after success.
pub(crate) const EXIT_DONE: u8 = 0;
/// The exit code after a change that is committed but not yet in force.
pub(crate) const EXIT_PENDING: u8 = 5;

const EXIT_REFUSED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_UNREACHABLE: u8 = 3;
const EXIT_CONFLICT: u8 = 4;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// No daemon is named.
    #[snafu(display("--server is missing (accepted: an IP address and port)"))]
    NoServer,
    /// No credential is given.
    #[snafu(display("no operator credential (accepted: --credential-file or BALSAM_CREDENTIAL)"))]
    NoCredential,
    /// The credential file cannot be read.
    #[snafu(display("--credential-file {}: {source}", path.display()))]
    CredentialFile {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The credential cannot be part of a header field.
    #[snafu(display("the credential is not accepted (accepted: visible ASCII characters)"))]
    BadCredential,
    /// An argument is no assignment.
    #[snafu(display("{text:?} is not accepted (accepted: KEY=VALUE)"))]
    NoAssignment {
        /// The argument.
        text: String,
    },
    /// A settings key is not known.
    #[snafu(display("key {text:?} is not known (accepted: {accepted})"))]
    UnknownKey {
        /// The argument.
        text: String,
        /// The known keys.
        accepted: String,
    },
    /// A value is out of range.
    #[snafu(display("{source}"))]
    BadValue {
        /// What is wrong.
        source: ValueError,
    },
    /// A name is not accepted.
    #[snafu(display("{source}"))]
    BadName {
        /// What is wrong.
        source: NameError,
    },
    /// A path is not accepted.
    #[snafu(display("{source}"))]
    BadPath {
        /// What is wrong.
        source: NodePathError,
    },
    /// The daemon cannot be reached or does not answer.
    #[snafu(display("daemon {server}: {detail}"))]
    Unreachable {
        /// The daemon.
        server: SocketAddr,
        /// The transport's description.
        detail: String,
    },
    /// The daemon's answer cannot be interpreted.
    #[snafu(display("daemon {server}: status {status} without the expected JSON"))]
    BadAnswer {
        /// The daemon.
        server: SocketAddr,
        /// The HTTP status code.
        status: u16,
    },
    /// The settings tree has no such node.
    #[snafu(display("{path}: no such node"))]
    NoNode {
        /// The path.
        path: NodePath,
    },
    /// The daemon refused the request.
    #[snafu(display("{}", refusal.message))]
    Refused {
        /// The refusal.
        refusal: Box<ErrorResponse>,
    },
    /// The result cannot be printed.
    #[snafu(display("standard output: {source}"))]
    Output {
        /// Why.
        source: io::Error,
    },
}

impl CtlError {
    /// Returns what the operator can do.
    pub fn help(&self) -> &str {
        match self {
            Self::NoServer => {
                "name the operator address of any daemon, which it prints when it \
                               starts"
            }
            Self::NoCredential => {
                "put the operator credential of the daemons' settings file into \
                                   a file that only you can read"
            }
            Self::CredentialFile { .. } => "check the path and that you may read the file",
            Self::BadCredential => "the file must hold the credential and nothing else",
            Self::NoAssignment { .. } => "write the key, an equals sign and the value",
            Self::UnknownKey { .. } => "`balsamctl settings explain /` lists the keys",
            Self::BadValue { .. } => "choose a value in the accepted range",
            Self::BadName { .. } => "choose another name",
            Self::BadPath { .. } | Self::NoNode { .. } => {
                "`balsamctl settings get` lists the nodes"
            }
            Self::Unreachable { .. } => {
                "check the address or try another daemon; read the state \
                                         back before repeating a change"
            }
            Self::BadAnswer { .. } => {
                "check that the address is an operator listener of a daemon \
                                       of the same version"
            }
            Self::Refused { refusal } => &refusal.help,
            Self::Output { .. } => "check where the output goes",
        }
    }

    /// Returns the exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::NoServer
            | Self::NoCredential
            | Self::CredentialFile { .. }
            | Self::BadCredential
            | Self::NoAssignment { .. }
            | Self::UnknownKey { .. }
            | Self::BadValue { .. }
            | Self::BadName { .. }
            | Self::BadPath { .. } => EXIT_USAGE,
            Self::Unreachable { .. } | Self::BadAnswer { .. } => EXIT_UNREACHABLE,
            Self::Refused { refusal } => refusal_code(refusal.code),
            Self::NoNode { .. } | Self::Output { .. } => EXIT_REFUSED,
        }
    }

    /// Returns the failure as JSON.
    pub fn to_json(&self) -> Value {
        if let Self::Refused { refusal } = self
            && let Ok(value) = serde_json::to_value(refusal)
        {
            return value;
        }
        let code = match (self, self.exit_code()) {
            (Self::NoNode { .. }, _) => "not-found",
            (_, EXIT_UNREACHABLE) => "unreachable",
            (_, EXIT_USAGE) => "usage",
            _ => "failed",
        };
        json!({"code": code, "message": self.to_string(), "help": self.help()})
    }
}

/// A change that the table did not confirm may be committed, which is pending for the operator.
const fn refusal_code(code: ErrorCode) -> u8 {
    match code {
        ErrorCode::Conflict => EXIT_CONFLICT,
        ErrorCode::Unsettled => EXIT_PENDING,
        ErrorCode::BadCredential
        | ErrorCode::BadRequest
        | ErrorCode::NotFound
        | ErrorCode::TableUnavailable
        | ErrorCode::Stopping
        | ErrorCode::Busy => EXIT_REFUSED,
    }
}
