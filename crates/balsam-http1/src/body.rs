//! Incremental decoding of message bodies.

use crate::{ChunkedDecoder, Http1Error};
use bytes::{Bytes, BytesMut};

/// The maximum length of one decoded part of a body in bytes.
pub const PART_MAX_BYTES: usize = 64 << 10;

/// The result of one decoding step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyStep {
    /// More bytes are needed.
    NeedMore,
    /// The next part of the body.
    Chunk(Bytes),
    /// The body is complete.
    End,
}

/// Splits received bytes into parts of a body and detects the end that its framing defines.
#[derive(Debug)]
pub enum BodyDecoder {
    /// A body with a `Content-Length`.
    Length {
        /// The number of bytes still to be received.
        left_bytes: u64,
    },
    /// A body in the chunked transfer encoding.
    Chunked(ChunkedDecoder),
    /// A body that extends to the close of the connection. The decoder never reports its end; the
    /// code that reads the connection does, and only if the connection was closed cleanly.
    UntilClose,
}

impl BodyDecoder {
    /// Creates a decoder for a message without a body.
    pub const fn empty() -> Self {
        Self::length(0)
    }

    /// Creates a decoder for a body of `length_bytes`.
    pub const fn length(length_bytes: u64) -> Self {
        Self::Length {
            left_bytes: length_bytes,
        }
    }

    /// Creates a decoder for a chunked body.
    pub const fn chunked() -> Self {
        Self::Chunked(ChunkedDecoder::new())
    }

    /// Returns whether the body ends when the connection is closed cleanly.
    pub const fn ends_at_close(&self) -> bool {
        matches!(self, Self::UntilClose)
    }

    /// Takes the next part of the body from `buffer`.
    ///
    /// # Errors
    ///
    /// Returns an [`Http1Error`] if the bytes are not a valid body.
    pub fn step(&mut self, buffer: &mut BytesMut) -> Result<BodyStep, Http1Error> {
        match self {
            Self::Length { left_bytes: 0 } => Ok(BodyStep::End),
            Self::Length { left_bytes } => match take_part(buffer, *left_bytes) {
                Some(part) => {
                    *left_bytes -= part.len() as u64;
                    Ok(BodyStep::Chunk(part))
                }
                None => Ok(BodyStep::NeedMore),
            },
            Self::Chunked(decoder) => decoder.step(buffer),
            Self::UntilClose => {
                Ok(take_part(buffer, u64::MAX).map_or(BodyStep::NeedMore, BodyStep::Chunk))
            }
        }
    }
}

/// Takes at most `left_bytes` and at most [`PART_MAX_BYTES`] from `buffer`.
pub(crate) fn take_part(buffer: &mut BytesMut, left_bytes: u64) -> Option<Bytes> {
    let remaining = usize::try_from(left_bytes).unwrap_or(usize::MAX);
    let part_bytes = buffer.len().min(remaining).min(PART_MAX_BYTES);
    (part_bytes > 0).then(|| buffer.split_to(part_bytes).freeze())
}
