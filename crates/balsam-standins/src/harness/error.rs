//! Failures of the harness.

use snafu::Snafu;
use std::io;
use std::net::SocketAddr;

/// Why a step of a test could not be carried out.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HarnessError {
    /// A request had no answer.
    #[snafu(display("{method} {url}: {reason}"))]
    NoAnswer {
        /// The method.
        method: String,
        /// The URL.
        url: String,
        /// What broke.
        reason: String,
    },
    /// A request was answered with another status than expected.
    #[snafu(display("{method} {url}: status {status}: {body}"))]
    Status {
        /// The method.
        method: String,
        /// The URL.
        url: String,
        /// The status.
        status: u16,
        /// The answer's body.
        body: String,
    },
    /// An answer is not the expected JSON.
    #[snafu(display("{url}: {source}"))]
    Json {
        /// The URL.
        url: String,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// A child process could not be started or signalled.
    #[snafu(display("{program}: {source}"))]
    Process {
        /// The program.
        program: String,
        /// What failed.
        source: io::Error,
    },
    /// A child process did not do what was awaited within the deadline.
    #[snafu(display("{program}: {awaited} did not happen within {deadline_ms} ms"))]
    Deadline {
        /// The program.
        program: String,
        /// What was awaited.
        awaited: &'static str,
        /// The deadline in milliseconds.
        deadline_ms: u64,
    },
    /// A child process did not announce an address.
    #[snafu(display("{program}: address {field} was not announced"))]
    Unannounced {
        /// The program.
        program: String,
        /// The field of its first line.
        field: &'static str,
    },
    /// A listener could not be opened.
    #[snafu(display("listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What failed.
        source: io::Error,
    },
}
