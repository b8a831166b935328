//! Length-prefixed frames on streams between daemons.

use super::codec::{CONTROL_MAX_BYTES, encode};
use super::error::{
    IncompleteSnafu, TooLongSnafu, UnexpectedKindSnafu, UnknownKindSnafu, WireError,
};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;
use snafu::ensure;

/// The maximum length of a relayed request or response head in bytes. It is twice the header size
/// that a caller may send, to leave room for the added paths and names.
pub const HEAD_MAX_BYTES: usize = 128 << 10;

/// The maximum length of a body frame in bytes, which bounds the buffer of a receiver.
pub const BODY_FRAME_MAX_BYTES: usize = 64 << 10;

/// The length of a frame header in bytes: one byte for the kind and four for the payload length.
const HEADER_BYTES: usize = 5;

/// The kind of a frame's payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// A control message.
    Message,
    /// The head of a relayed request or response.
    Head,
    /// Raw body bytes.
    Body,
    /// The end marker, which confirms that the body is complete.
    End,
}

impl FrameKind {
    const fn code(self) -> u8 {
        match self {
            Self::Message => 0,
            Self::Head => 1,
            Self::Body => 2,
            Self::End => 3,
        }
    }

    fn from_code(kind: u8) -> Result<Self, WireError> {
        match kind {
            0 => Ok(Self::Message),
            1 => Ok(Self::Head),
            2 => Ok(Self::Body),
            3 => Ok(Self::End),
            _ => UnknownKindSnafu { kind }.fail(),
        }
    }

    const fn max_bytes(self) -> usize {
        match self {
            Self::Message => CONTROL_MAX_BYTES,
            Self::Head => HEAD_MAX_BYTES,
            Self::Body => BODY_FRAME_MAX_BYTES,
            Self::End => 64,
        }
    }
}

/// A decoded frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The kind of the payload.
    pub kind: FrameKind,
    /// The payload without the frame header.
    pub payload: Bytes,
}

impl Frame {
    /// Returns the payload if the frame has the expected kind.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::UnexpectedKind`] for a frame of another kind.
    pub fn expect(self, kind: FrameKind) -> Result<Bytes, WireError> {
        let found = self.kind;
        ensure!(found == kind, UnexpectedKindSnafu { kind: found.code() });
        Ok(self.payload)
    }
}

/// Encodes a frame header; the payload of `length_bytes` is sent separately.
///
/// # Errors
///
/// Returns [`WireError::TooLong`] if the length exceeds the limit of the kind.
pub fn frame_header(kind: FrameKind, length_bytes: usize) -> Result<Bytes, WireError> {
    let max_bytes = kind.max_bytes();
    ensure!(
        length_bytes <= max_bytes,
        TooLongSnafu {
            length_bytes,
            max_bytes
        }
    );
    let mut header = BytesMut::with_capacity(HEADER_BYTES);
    header.put_u8(kind.code());
    header.put_u32(length_bytes as u32);
    Ok(header.freeze())
}

/// Encodes a wire type as a complete frame.
///
/// # Errors
///
/// Returns a [`WireError`] if the value cannot be encoded or exceeds the limit of the kind.
pub fn frame_message(kind: FrameKind, value: &impl Serialize) -> Result<Bytes, WireError> {
    let payload = encode(value)?;
    let header = frame_header(kind, payload.len())?;
    let mut frame = BytesMut::with_capacity(header.len() + payload.len());
    frame.put(header);
    frame.put_slice(&payload);
    Ok(frame.freeze())
}

/// Splits received bytes into frames.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Creates a decoder with an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next complete frame, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns a [`WireError`] as soon as an invalid header is received, without waiting for the
    /// payload.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, WireError> {
        if self.buffer.len() < HEADER_BYTES {
            return Ok(None);
        }
        let mut header = &self.buffer[..HEADER_BYTES];
        let kind = FrameKind::from_code(header.get_u8())?;
        let length_bytes = header.get_u32() as usize;
        let max_bytes = kind.max_bytes();
        ensure!(
            length_bytes <= max_bytes,
            TooLongSnafu {
                length_bytes,
                max_bytes
            }
        );
        if self.buffer.len() < HEADER_BYTES + length_bytes {
            return Ok(None);
        }
        self.buffer.advance(HEADER_BYTES);
        let payload = self.buffer.split_to(length_bytes).freeze();
        Ok(Some(Frame { kind, payload }))
    }

    /// Verifies, after the stream has ended, that no partial frame is left.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::Incomplete`] if the buffer is not empty.
    pub fn finish(&self) -> Result<(), WireError> {
        ensure!(self.buffer.is_empty(), IncompleteSnafu);
        Ok(())
    }
}
