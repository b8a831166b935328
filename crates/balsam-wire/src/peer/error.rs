//! Errors of encoding and decoding peer messages.

use balsam_types::NameError;
use snafu::Snafu;

/// An error that occurs while encoding or decoding a peer message.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// The frame announces more bytes than its kind allows.
    #[snafu(display("frame: {length_bytes} bytes is too long (accepted: 0 to {max_bytes})"))]
    TooLong {
        /// The announced length in bytes.
        length_bytes: usize,
        /// The maximum length in bytes.
        max_bytes: usize,
    },
    /// The frame kind is unknown.
    #[snafu(display("frame kind: {kind} is not accepted (accepted: 0 to 3)"))]
    UnknownKind {
        /// The rejected kind.
        kind: u8,
    },
    /// A frame of another kind was expected.
    #[snafu(display("frame kind: {kind} at a place where it is not accepted"))]
    UnexpectedKind {
        /// The rejected kind.
        kind: u8,
    },
    /// The message ended before its last frame was complete.
    #[snafu(display("message: ended within a frame"))]
    Incomplete,
    /// The payload is not valid bincode for the expected type.
    #[snafu(display("payload: {source}"))]
    Decode {
        /// The underlying error.
        source: bincode::error::DecodeError,
    },
    /// Bytes follow the decoded value.
    #[snafu(display("payload: {extra_bytes} bytes follow the value (accepted: 0)"))]
    Trailing {
        /// The number of trailing bytes.
        extra_bytes: usize,
    },
    /// The value cannot be encoded.
    #[snafu(display("payload cannot be encoded: {source}"))]
    Encode {
        /// The underlying error.
        source: bincode::error::EncodeError,
    },
    /// A control value embedded as JSON is invalid.
    #[snafu(display("{field}: {source}"))]
    Nested {
        /// The name of the field.
        field: &'static str,
        /// The underlying error.
        source: serde_json::Error,
    },
    /// A name is invalid.
    #[snafu(display("{source}"), context(false))]
    Name {
        /// The underlying error.
        source: NameError,
    },
    /// A number is out of range.
    #[snafu(display("{field}: {value} is not accepted (accepted: {accepted})"))]
    OutOfRange {
        /// The name of the field.
        field: &'static str,
        /// The rejected value.
        value: String,
        /// A description of the accepted range.
        accepted: &'static str,
    },
}
