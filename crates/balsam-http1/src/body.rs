//! Reads the bodies of messages.

use crate::{ChunkedDecoder, Http1Error};
use bytes::{Bytes, BytesMut};

/// The greatest length of one part of a body in bytes.
pub const PART_MAX_BYTES: usize = 64 << 10;

/// What a decoder found in the received bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyStep {
    /// More bytes are needed.
    NeedMore,
    /// The next bytes of the body.
    Chunk(Bytes),
    /// The body is complete.
    End,
}

/// Finds the parts of a body and its proven end.
#[derive(Debug)]
pub enum BodyDecoder {
    /// A body whose length is known.
    Length {
        /// The bytes that are still to come.
        left_bytes: u64,
    },
    /// A body in chunks.
    Chunked(ChunkedDecoder),
    /// A body that ends with its connection. The decoder never finds the end; the reader of the
    /// connection does, and only an orderly close counts.
    UntilClose,
}

impl BodyDecoder {
    /// Makes the decoder of a message without a body.
    pub const fn empty() -> Self {
        Self::length(0)
    }

    /// Makes the decoder of a body of `length_bytes`.
    pub const fn length(length_bytes: u64) -> Self {
        Self::Length {
            left_bytes: length_bytes,
        }
    }

    /// Makes the decoder of a body in chunks.
    pub const fn chunked() -> Self {
        Self::Chunked(ChunkedDecoder::new())
    }

    /// Returns whether an orderly close of the connection completes the body.
    pub const fn ends_at_close(&self) -> bool {
        matches!(self, Self::UntilClose)
    }

    /// Takes the next part of the body from `buffer`.
    ///
    /// # Errors
    ///
    /// Returns an [`Http1Error`] if the bytes do not form a body.
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
    let left = usize::try_from(left_bytes).unwrap_or(usize::MAX);
    let part_bytes = buffer.len().min(left).min(PART_MAX_BYTES);
    (part_bytes > 0).then(|| buffer.split_to(part_bytes).freeze())
}
