//! Reads callers' requests from the bytes of a connection.

use balsam_http1::{BodyDecoder, BodyStep, Http1Error, RequestHead, parse_request};
use balsam_types::{CallerLimits, TimeMs};
use bytes::{Bytes, BytesMut};

/// A whole request of a caller.
#[derive(Debug)]
pub(super) struct CallerRequest {
    pub(super) head: RequestHead,
    pub(super) body: Bytes,
    /// When its head had arrived.
    pub(super) received_at: TimeMs,
}

/// Why a request is refused before it is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unreadable {
    /// The request is malformed.
    Malformed,
    /// The head is too long.
    HeadTooLong,
    /// The body is too long.
    BodyTooLong,
}

impl Unreadable {
    /// Returns the status that tells the caller.
    pub(super) const fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::HeadTooLong => 431,
            Self::BodyTooLong => 413,
        }
    }
}

/// What the reader found.
#[derive(Debug)]
pub(super) enum ReadStep {
    /// More bytes are needed.
    Need,
    /// The caller waits for leave to send the body.
    Continue,
    /// A whole request.
    Request(Box<CallerRequest>),
}

#[derive(Debug)]
struct Reading {
    head: RequestHead,
    body: BytesMut,
    received_at: TimeMs,
}

/// Takes requests from the bytes of one connection.
#[derive(Debug, Default)]
pub(super) struct Reader {
    reading: Option<Reading>,
}

impl Reader {
    /// Returns whether the start of a request has been read.
    pub(super) const fn is_inside(&self) -> bool {
        self.reading.is_some()
    }

    /// Takes the next request from `buffer`.
    pub(super) fn step(
        &mut self,
        now: TimeMs,
        buffer: &mut BytesMut,
        limits: CallerLimits,
    ) -> Result<ReadStep, Unreadable> {
        if self.reading.is_none() {
            skip_empty_lines(buffer);
            let parsed = parse_request(buffer, limits.header_max_bytes);
            let Some(head) = parsed.map_err(|error| refusal(&error))? else {
                return Ok(ReadStep::Need);
            };
            if let BodyDecoder::Length { left_bytes } = head.body
                && left_bytes > limits.body_max_bytes
            {
                return Err(Unreadable::BodyTooLong);
            }
            let waits = head.fields.has_token("expect", "100-continue") && buffer.is_empty();
            self.reading = Some(Reading {
                head,
                body: BytesMut::new(),
                received_at: now,
            });
            if waits {
                return Ok(ReadStep::Continue);
            }
        }
        self.read_body(buffer, limits)
    }

    fn read_body(
        &mut self,
        buffer: &mut BytesMut,
        limits: CallerLimits,
    ) -> Result<ReadStep, Unreadable> {
        while let Some(reading) = &mut self.reading {
            match reading
                .head
                .body
                .step(buffer)
                .map_err(|error| refusal(&error))?
            {
                BodyStep::NeedMore => return Ok(ReadStep::Need),
                BodyStep::Chunk(bytes) => {
                    if (reading.body.len() + bytes.len()) as u64 > limits.body_max_bytes {
                        return Err(Unreadable::BodyTooLong);
                    }
                    reading.body.extend_from_slice(&bytes);
                }
                BodyStep::End => {
                    let Some(Reading {
                        head,
                        body,
                        received_at,
                    }) = self.reading.take()
                    else {
                        break;
                    };
                    let request = CallerRequest {
                        head,
                        body: body.freeze(),
                        received_at,
                    };
                    return Ok(ReadStep::Request(Box::new(request)));
                }
            }
        }
        Ok(ReadStep::Need)
    }
}

/// Empty lines before a request are ignored, as RFC 9112 asks.
fn skip_empty_lines(buffer: &mut BytesMut) {
    while buffer.starts_with(b"\r\n") {
        let _line = buffer.split_to(2);
    }
}

const fn refusal(error: &Http1Error) -> Unreadable {
    match error {
        Http1Error::HeadTooLong { .. } => Unreadable::HeadTooLong,
        _ => Unreadable::Malformed,
    }
}
