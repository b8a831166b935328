//! Failures of a measurement.

use crate::harness::HarnessError;
use crate::load::{LoadError, PlanError};
use balsam_types::NameError;
use snafu::Snafu;
use std::io;

/// A measurement that could not be made.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum MeasureError {
    /// A process of the deployment failed.
    #[snafu(context(false), display("{source}"))]
    Deployment {
        /// Why.
        source: HarnessError,
    },
    /// The load could not be sent.
    #[snafu(context(false), display("{source}"))]
    Load {
        /// Why.
        source: LoadError,
    },
    /// The load plan is refused.
    #[snafu(context(false), display("{source}"))]
    Plan {
        /// Why.
        source: PlanError,
    },
    /// A name of the deployment is refused.
    #[snafu(context(false), display("{source}"))]
    Name {
        /// Why.
        source: NameError,
    },
    /// A result is not the expected JSON.
    #[snafu(context(false), display("result: {source}"))]
    Json {
        /// What is wrong.
        source: serde_json::Error,
    },
    /// A file could not be read or written.
    #[snafu(display("{path}: {source}"))]
    File {
        /// The file.
        path: String,
        /// What failed.
        source: io::Error,
    },
    /// The kernel's figures of a process have another form than expected.
    #[snafu(display("process {process}: no figure {figure}"))]
    NoFigure {
        /// The process id.
        process: u32,
        /// The missing figure.
        figure: &'static str,
    },
    /// The deployment lacks a daemon that the measurement needs.
    #[snafu(display("no daemon is the {role}"))]
    NoDaemon {
        /// What the daemon must be.
        role: &'static str,
    },
}
