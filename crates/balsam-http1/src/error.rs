//! Errors of encoding and decoding messages.

use snafu::Snafu;

/// An error that occurs while encoding or decoding a message.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Http1Error {
    /// A part of a message to be sent is not allowed in HTTP/1.1.
    #[snafu(display("request {part}: not accepted in a message head"))]
    BadRequest {
        /// The rejected part.
        part: &'static str,
    },
    /// The head exceeds the maximum length.
    #[snafu(display("message head: more than {max_bytes} bytes"))]
    HeadTooLong {
        /// The maximum length in bytes.
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
    /// The body is delimited only by the close of the connection, which cannot be told apart from a
    /// truncated body.
    #[snafu(display("answer body: neither a length nor chunks prove that it is complete"))]
    UndelimitedBody,
}
