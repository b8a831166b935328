//! The errors that keep a daemon from running.

use crate::metrics::MetricsError;
use snafu::Snafu;
use std::io;
use std::net::SocketAddr;

/// Why a daemon cannot start, or why it ended without being stopped.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum RunError {
    /// A listener cannot be bound.
    #[snafu(display("{listener} {address}: {source}"))]
    Listen {
        /// The settings field that holds the address.
        listener: &'static str,
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The metrics cannot be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// The error of the exporter.
        source: MetricsError,
    },
    /// A task that must run as long as the daemon itself ended before it.
    #[snafu(display("a task of the daemon ended unexpectedly"))]
    TaskEnded,
}
