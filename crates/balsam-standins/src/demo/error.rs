//! Failures of the demonstration.

use crate::harness::HarnessError;
use balsam_daemon::RunError;
use balsam_daemon::config::ConfigError;
use balsam_types::NameError;
use snafu::Snafu;
use std::io;

/// Why the demonstration failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum DemoError {
    /// A stand-in could not listen.
    #[snafu(display("{standin}: {source}"))]
    Standin {
        /// The stand-in.
        standin: String,
        /// What failed.
        source: io::Error,
    },
    /// A name is refused.
    #[snafu(display("{source}"))]
    Name {
        /// Why.
        source: NameError,
    },
    /// A daemon's settings are refused.
    #[snafu(display("{source}"))]
    Settings {
        /// Why.
        source: ConfigError,
    },
    /// A daemon could not start, or ended by itself.
    #[snafu(display("daemon: {source}"))]
    Daemon {
        /// Why.
        source: RunError,
    },
    /// A daemon's task failed.
    #[snafu(display("daemon: {source}"))]
    DaemonTask {
        /// Why.
        source: tokio::task::JoinError,
    },
    /// An exchange failed or a state was not reached.
    #[snafu(display("{source}"))]
    Exchange {
        /// Why.
        source: HarnessError,
    },
    /// An answer is not as it must be.
    #[snafu(display("{request}: {expected} was expected, but the answer was {found}"))]
    Unexpected {
        /// The request.
        request: &'static str,
        /// What was expected.
        expected: &'static str,
        /// What was found.
        found: String,
    },
    /// A line could not be printed.
    #[snafu(display("print: {source}"))]
    Print {
        /// What failed.
        source: io::Error,
    },
}
