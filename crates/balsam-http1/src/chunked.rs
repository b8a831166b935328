//! Incremental decoding of the chunked transfer encoding.

use crate::body::take_part;
use crate::error::BadBodySnafu;
use crate::{BodyStep, Http1Error};
use bytes::{Buf, BytesMut};
use memchr::memmem;
use snafu::{OptionExt, ensure};

/// The maximum length of a chunk size line or trailer line in bytes.
const LINE_MAX_BYTES: usize = 4 << 10;

/// The maximum number of trailer lines in a body. Trailer lines are discarded.
const TRAILERS_MAX: u32 = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Size,
    Data { left_bytes: u64 },
    DataTerminator,
    Trailers { lines: u32 },
    Ended,
}

/// Decodes the chunks of a body, and reads and discards its trailer section.
#[derive(Debug)]
pub struct ChunkedDecoder {
    state: State,
}

impl Default for ChunkedDecoder {
    fn default() -> Self {
        Self::new()
    }
}

impl ChunkedDecoder {
    /// Creates a decoder that expects the first chunk.
    pub const fn new() -> Self {
        Self { state: State::Size }
    }

    /// Takes the next part of the body from `buffer`.
    ///
    /// # Errors
    ///
    /// Returns an [`Http1Error`] if a size line, a chunk terminator or the trailer section is
    /// malformed.
    pub fn step(&mut self, buffer: &mut BytesMut) -> Result<BodyStep, Http1Error> {
        loop {
            match self.state {
                State::Size => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(BodyStep::NeedMore);
                    };
                    self.state = match parse_size(&line)? {
                        0 => State::Trailers { lines: 0 },
                        left_bytes => State::Data { left_bytes },
                    };
                }
                State::Data { left_bytes: 0 } => self.state = State::DataTerminator,
                State::Data { left_bytes } => {
                    let Some(part) = take_part(buffer, left_bytes) else {
                        return Ok(BodyStep::NeedMore);
                    };
                    let left_bytes = left_bytes - part.len() as u64;
                    self.state = State::Data { left_bytes };
                    return Ok(BodyStep::Chunk(part));
                }
                State::DataTerminator => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(BodyStep::NeedMore);
                    };
                    ensure!(line.is_empty(), BadBodySnafu { part: "chunk end" });
                    self.state = State::Size;
                }
                State::Trailers { lines } => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(BodyStep::NeedMore);
                    };
                    ensure!(lines < TRAILERS_MAX, BadBodySnafu { part: "trailers" });
                    self.state = if line.is_empty() {
                        State::Ended
                    } else {
                        State::Trailers { lines: lines + 1 }
                    };
                }
                State::Ended => return Ok(BodyStep::End),
            }
        }
    }
}

fn take_line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, Http1Error> {
    let search_window = &buffer[..buffer.len().min(LINE_MAX_BYTES)];
    let Some(end) = memmem::find(search_window, b"\r\n") else {
        let has_room = buffer.len() < LINE_MAX_BYTES;
        ensure!(has_room, BadBodySnafu { part: "chunk line" });
        return Ok(None);
    };
    let line = buffer.split_to(end);
    buffer.advance(2);
    Ok(Some(line))
}

fn parse_size(line: &[u8]) -> Result<u64, Http1Error> {
    let end = line.iter().position(|byte| *byte == b';');
    let digits = line[..end.unwrap_or(line.len())].trim_ascii();
    let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    let size = std::str::from_utf8(digits)
        .ok()
        .filter(|_| is_hex)
        .and_then(|digits| u64::from_str_radix(digits, 16).ok());
    size.context(BadBodySnafu { part: "chunk size" })
}
