//! Failures of encoding and decoding.

use balsam_types::NameError;
use snafu::Snafu;

/// Why a message from a peer cannot be used, or one to a peer cannot be made.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// The frame announces more bytes than its kind allows.
    #[snafu(display("frame: {length_bytes} bytes is too long (accepted: 0 to {max_bytes})"))]
    TooLong {
        /// The announced length in bytes.
        length_bytes: usize,
        /// The greatest accepted length in bytes.
        max_bytes: usize,
    },
    /// The frame's kind is not known.
    #[snafu(display("frame kind: {kind} is not accepted (accepted: 0 to 3)"))]
    UnknownKind {
        /// The refused kind.
        kind: u8,
    },
    /// A frame of another kind was expected.
    #[snafu(display("frame kind: {kind} at a place where it is not accepted"))]
    UnexpectedKind {
        /// The refused kind.
        kind: u8,
    },
    /// The message ended before its last frame was complete.
    #[snafu(display("message: ended within a frame"))]
    Incomplete,
    /// The payload is no bincode of the expected type.
    #[snafu(display("payload: {source}"))]
    Decode {
        /// What is wrong.
        source: bincode::error::DecodeError,
    },
    /// Bytes follow the decoded value.
    #[snafu(display("payload: {extra_bytes} bytes follow the value (accepted: 0)"))]
    Trailing {
        /// The number of extra bytes.
        extra_bytes: usize,
    },
    /// The value cannot be encoded.
    #[snafu(display("payload cannot be encoded: {source}"))]
    Encode {
        /// What is wrong.
        source: bincode::error::EncodeError,
    },
    /// A nested control value is not valid.
    #[snafu(display("{field}: {source}"))]
    Nested {
        /// The field.
        field: &'static str,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// A name is not accepted.
    #[snafu(display("{source}"), context(false))]
    Name {
        /// What is wrong.
        source: NameError,
    },
    /// A number is out of its range.
    #[snafu(display("{field}: {value} is not accepted (accepted: {accepted})"))]
    OutOfRange {
        /// The field.
        field: &'static str,
        /// The refused value.
        value: String,
        /// The accepted range.
        accepted: &'static str,
    },
}
