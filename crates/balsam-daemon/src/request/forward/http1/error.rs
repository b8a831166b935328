//! Faults of an upstream's answer and of a request that cannot be written.

use snafu::Snafu;

/// Why a message cannot be written or read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub(in crate::request) enum Http1Error {
    /// A part of the request cannot stand in an HTTP/1.1 message.
    #[snafu(display("request {part}: not accepted in a message head"))]
    BadRequest {
        /// The refused part.
        part: &'static str,
    },
    /// The head of the answer is longer than accepted.
    #[snafu(display("answer head: more than {max_bytes} bytes"))]
    HeadTooLong {
        /// The accepted length in bytes.
        max_bytes: usize,
    },
    /// The head of the answer is malformed.
    #[snafu(display("answer head: {part} is malformed"))]
    BadHead {
        /// The malformed part.
        part: &'static str,
    },
    /// The body of the answer is malformed.
    #[snafu(display("answer body: {part} is malformed"))]
    BadBody {
        /// The malformed part.
        part: &'static str,
    },
    /// The end of the body would be marked by the end of the connection.
    #[snafu(display("answer body: neither a length nor chunks prove that it is complete"))]
    UnprovenEnd,
}
