//! Parses callers' requests from the bytes of a connection.

use balsam_http1::{BodyDecoder, BodyStep, Http1Error, RequestHead, parse_request};
use balsam_types::{CallerLimits, TimeMs};
use bytes::{Bytes, BytesMut};

/// A complete request of a caller.
#[derive(Debug)]
pub(super) struct CallerRequest {
    pub(super) head: RequestHead,
    pub(super) body: Bytes,
    /// When the head was complete.
    pub(super) received_at: TimeMs,
}

/// Reason that a request is refused before it is read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadError {
    /// The request is malformed.
    Malformed,
    /// The head is too long.
    HeadTooLong,
    /// The body is too long.
    BodyTooLong,
}

impl ReadError {
    /// Returns the status of the response to the caller.
    pub(super) const fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::HeadTooLong => 431,
            Self::BodyTooLong => 413,
        }
    }
}

/// Result of a step of the reader.
#[derive(Debug)]
pub(super) enum ReadStep {
    /// More bytes are needed.
    Need,
    /// The caller waits for `100 Continue` before it sends the body.
    Continue,
    /// A whole request.
    Request(Box<CallerRequest>),
}

#[derive(Debug)]
struct PartialRequest {
    head: RequestHead,
    body: BytesMut,
    received_at: TimeMs,
}

/// Parses requests from the bytes of one connection.
#[derive(Debug, Default)]
pub(super) struct Reader {
    partial: Option<PartialRequest>,
}

impl Reader {
    /// Returns whether a request has been read in part.
    pub(super) const fn is_mid_request(&self) -> bool {
        self.partial.is_some()
    }

    /// Takes the next request from `buffer`.
    pub(super) fn step(
        &mut self,
        now: TimeMs,
        buffer: &mut BytesMut,
        limits: CallerLimits,
    ) -> Result<ReadStep, ReadError> {
        if self.partial.is_none() {
            skip_empty_lines(buffer);
            let parsed = parse_request(buffer, limits.header_max_bytes);
            let Some(head) = parsed.map_err(|error| read_error(&error))? else {
                return Ok(ReadStep::Need);
            };
            if let BodyDecoder::Length { left_bytes } = head.body
                && left_bytes > limits.body_max_bytes
            {
                return Err(ReadError::BodyTooLong);
            }
            let expects_continue =
                head.fields.has_token("expect", "100-continue") && buffer.is_empty();
            self.partial = Some(PartialRequest {
                head,
                body: BytesMut::new(),
                received_at: now,
            });
            if expects_continue {
                return Ok(ReadStep::Continue);
            }
        }
        self.read_body(buffer, limits)
    }

    fn read_body(
        &mut self,
        buffer: &mut BytesMut,
        limits: CallerLimits,
    ) -> Result<ReadStep, ReadError> {
        while let Some(partial) = &mut self.partial {
            match partial
                .head
                .body
                .step(buffer)
                .map_err(|error| read_error(&error))?
            {
                BodyStep::NeedMore => return Ok(ReadStep::Need),
                BodyStep::Chunk(bytes) => {
                    if (partial.body.len() + bytes.len()) as u64 > limits.body_max_bytes {
                        return Err(ReadError::BodyTooLong);
                    }
                    partial.body.extend_from_slice(&bytes);
                }
                BodyStep::End => {
                    let Some(PartialRequest {
                        head,
                        body,
                        received_at,
                    }) = self.partial.take()
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

/// Skips empty lines before a request, as RFC 9112 asks.
fn skip_empty_lines(buffer: &mut BytesMut) {
    while buffer.starts_with(b"\r\n") {
        let _line = buffer.split_to(2);
    }
}

const fn read_error(error: &Http1Error) -> ReadError {
    match error {
        Http1Error::HeadTooLong { .. } => ReadError::HeadTooLong,
        _ => ReadError::Malformed,
    }
}
