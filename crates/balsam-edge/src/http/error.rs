//! Errors of an exchange.

use balsam_http1::Http1Error;
use snafu::Snafu;
use std::io;

/// Reason that an exchange of a request and its response failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ExchangeError {
    /// No connection could be opened.
    #[snafu(display("connect: {source}"))]
    Connect {
        /// The cause.
        source: io::Error,
    },
    /// The connection failed.
    #[snafu(display("connection: {source}"))]
    Io {
        /// The cause.
        source: io::Error,
    },
    /// The connection ended before the message did.
    #[snafu(display("the connection ended before the answer was complete"))]
    Closed,
    /// The response belongs to another request.
    #[snafu(display("an answer to another request"))]
    Mismatched,
    /// The message is malformed.
    #[snafu(display("{source}"))]
    Malformed {
        /// The cause.
        source: Http1Error,
    },
    /// The head or the body is longer than accepted.
    #[snafu(display("answer: more than {max_bytes} bytes"))]
    TooLong {
        /// The accepted length in bytes.
        max_bytes: usize,
    },
    /// No response arrived in time.
    #[snafu(display("no answer in time"))]
    TimedOut,
}

impl ExchangeError {
    /// Returns whether the peer or the network ended the connection.
    pub const fn has_ended(&self) -> bool {
        matches!(self, Self::Io { .. } | Self::Closed)
    }
}
