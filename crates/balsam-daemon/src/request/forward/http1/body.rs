//! Reads the bodies of answers.

use super::Http1Error;
use super::chunked::ChunkedDecoder;
use balsam_wire::peer::BODY_FRAME_MAX_BYTES;
use bytes::{Bytes, BytesMut};

/// What a decoder found in the received bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::request) enum BodyStep {
    /// More bytes are needed.
    Need,
    /// The next bytes of the body.
    Chunk(Bytes),
    /// The body is complete.
    End,
}

/// Finds the parts of a body and its proven end.
#[derive(Debug)]
pub(in crate::request) enum BodyDecoder {
    /// A body whose length is known.
    Length {
        /// The bytes that are still to come.
        left_bytes: u64,
    },
    /// A body in chunks.
    Chunked(ChunkedDecoder),
}

impl BodyDecoder {
    /// Makes the decoder of an answer without a body.
    pub(super) const fn empty() -> Self {
        Self::length(0)
    }

    /// Makes the decoder of a body of `length_bytes`.
    pub(super) const fn length(length_bytes: u64) -> Self {
        Self::Length {
            left_bytes: length_bytes,
        }
    }

    /// Makes the decoder of a body in chunks.
    pub(super) const fn chunked() -> Self {
        Self::Chunked(ChunkedDecoder::new())
    }

    /// Takes the next part of the body from `buffer`.
    pub(in crate::request) fn step(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<BodyStep, Http1Error> {
        match self {
            Self::Length { left_bytes: 0 } => Ok(BodyStep::End),
            Self::Length { left_bytes } => match take_part(buffer, *left_bytes) {
                Some(part) => {
                    *left_bytes -= part.len() as u64;
                    Ok(BodyStep::Chunk(part))
                }
                None => Ok(BodyStep::Need),
            },
            Self::Chunked(decoder) => decoder.step(buffer),
        }
    }
}

/// Takes at most `left_bytes` and at most one frame's worth of bytes from `buffer`.
pub(super) fn take_part(buffer: &mut BytesMut, left_bytes: u64) -> Option<Bytes> {
    let left = usize::try_from(left_bytes).unwrap_or(usize::MAX);
    let part_bytes = buffer.len().min(left).min(BODY_FRAME_MAX_BYTES);
    (part_bytes > 0).then(|| buffer.split_to(part_bytes).freeze())
}
