//! Why a daemon cannot run.

use crate::metrics::MetricsError;
use snafu::Snafu;
use std::io;
use std::net::SocketAddr;

/// Why a daemon cannot start, or ended other than by being stopped.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum RunError {
    /// A listener cannot be bound.
    #[snafu(display("{listener} {address}: {source}"))]
    Listen {
        /// The field of the settings file.
        listener: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The metrics cannot be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// Why.
        source: MetricsError,
    },
    /// A task that must run as long as the daemon has ended.
    #[snafu(display("a task of the daemon ended unexpectedly"))]
    TaskEnded,
}
