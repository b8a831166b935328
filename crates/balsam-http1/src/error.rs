//! Faults of messages.

use snafu::Snafu;

/// Why a message cannot be written or read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Http1Error {
    /// A part of the request cannot stand in an HTTP/1.1 message.
    #[snafu(display("request {part}: not accepted in a message head"))]
    BadRequest {
        /// The refused part.
        part: &'static str,
    },
    /// The head is longer than accepted.
    #[snafu(display("message head: more than {max_bytes} bytes"))]
    HeadTooLong {
        /// The accepted length in bytes.
        max_bytes: usize,
    },
    /// The head is malformed.
    #[snafu(display("message head: {part} is malformed"))]
    BadHead {
        /// The malformed part.
        part: &'static str,
    },
    /// The body is malformed.
    #[snafu(display("message body: {part} is malformed"))]
    BadBody {
        /// The malformed part.
        part: &'static str,
    },
    /// The end of the body would be marked by the end of the connection.
    #[snafu(display("answer body: neither a length nor chunks prove that it is complete"))]
    UndelimitedBody,
}
