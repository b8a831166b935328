//! Parses callers' requests from the bytes of a connection.

use crate::memory::Held;
use balsam_decide::memory::MemoryRefusal;
use balsam_http1::{BodyDecoder, BodyStep, Http1Error, RequestHead, parse_request};
use balsam_types::{CallerLimits, TimeMs};
use bytes::{Bytes, BytesMut};

/// What a body of unknown length reserves ahead, as a divisor of what has arrived, and at least. The
/// number of reservations then grows with the logarithm of the length.
const UNKNOWN_LENGTH_STEP_DIVISOR: u64 = 4;
const UNKNOWN_LENGTH_STEP_MIN_BYTES: u64 = 32 << 10;

/// A complete request of a caller.
#[derive(Debug)]
pub(super) struct CallerRequest {
    pub(super) head: RequestHead,
    pub(super) body: Bytes,
    /// When the head was complete.
    pub(super) received_at: TimeMs,
    /// The bytes that the request holds.
    pub(super) held: Held,
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
    /// There is no memory for the body.
    NoMemory(MemoryRefusal),
}

impl ReadError {
    /// Returns the status of the response to the caller.
    pub(super) const fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::HeadTooLong => 431,
            Self::BodyTooLong | Self::NoMemory(MemoryRefusal::TooLarge) => 413,
            Self::NoMemory(MemoryRefusal::Full { .. }) => 503,
        }
    }

    /// Returns the time after which a retry makes sense, in milliseconds, if there is one.
    pub(super) const fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::NoMemory(MemoryRefusal::Full { retry_after_ms }) => Some(retry_after_ms),
            Self::NoMemory(MemoryRefusal::TooLarge)
            | Self::Malformed
            | Self::HeadTooLong
            | Self::BodyTooLong => None,
        }
    }

    /// Returns whether the caller may still be sending a long body.
    pub(super) const fn is_mid_body(self) -> bool {
        matches!(self, Self::BodyTooLong | Self::NoMemory(_))
    }
}

/// Result of a step of the reader.
#[derive(Debug)]
pub(super) enum ReadStep {
    /// More bytes are needed.
    Need,
    /// This many more bytes must be reserved before the body is read further.
    Reserve(u64),
    /// The caller waits for `100 Continue` before it sends the body.
    Continue,
    /// A whole request.
    Request(Box<CompleteRequest>),
}

/// A complete request, without the bytes that it holds.
#[derive(Debug)]
pub(super) struct CompleteRequest {
    pub(super) head: RequestHead,
    pub(super) body: Bytes,
    pub(super) received_at: TimeMs,
}

#[derive(Debug)]
struct PartialRequest {
    head: RequestHead,
    body: BytesMut,
    received_at: TimeMs,
    /// The bytes of the body that may be held.
    reserved_bytes: u64,
    /// Whether the caller waits for `100 Continue`.
    expects_continue: bool,
}

impl PartialRequest {
    /// Returns the bytes that the body may need, given those that have been received, beyond those
    /// that may be held.
    fn missing_bytes(&self, buffered_bytes: usize, limits: CallerLimits) -> u64 {
        let body_bytes = self.body.len() as u64;
        let needed_bytes = match self.head.body {
            // All of it at once, because requests that each have a part of their body and wait for
            // the rest would hold up each other.
            BodyDecoder::Length { left_bytes } => body_bytes + left_bytes,
            BodyDecoder::Chunked(_) | BodyDecoder::UntilClose => {
                let received_bytes = body_bytes + buffered_bytes as u64;
                if received_bytes <= self.reserved_bytes {
                    return 0;
                }
                let step_bytes = (received_bytes / UNKNOWN_LENGTH_STEP_DIVISOR)
                    .max(UNKNOWN_LENGTH_STEP_MIN_BYTES);
                let limit_bytes = limits.body_max_bytes.max(received_bytes);
                limit_bytes.min(received_bytes + step_bytes)
            }
        };
        needed_bytes.saturating_sub(self.reserved_bytes)
    }
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

    /// Notes that bytes of the body have been reserved.
    pub(super) const fn add_reserved(&mut self, bytes: u64) {
        if let Some(partial) = &mut self.partial {
            partial.reserved_bytes += bytes;
        }
    }

    /// Drops the request that has been read in part, and returns its head.
    pub(super) fn abandon(&mut self) -> Option<RequestHead> {
        self.partial.take().map(|partial| partial.head)
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
                reserved_bytes: 0,
                expects_continue,
            });
        }
        self.read_body(buffer, limits)
    }

    fn read_body(
        &mut self,
        buffer: &mut BytesMut,
        limits: CallerLimits,
    ) -> Result<ReadStep, ReadError> {
        while let Some(partial) = &mut self.partial {
            let missing_bytes = partial.missing_bytes(buffer.len(), limits);
            if missing_bytes > 0 {
                return Ok(ReadStep::Reserve(missing_bytes));
            }
            if std::mem::take(&mut partial.expects_continue) {
                return Ok(ReadStep::Continue);
            }
            if let (true, BodyDecoder::Length { left_bytes }) =
                (partial.body.is_empty(), &partial.head.body)
            {
                // A buffer that grows by doubling would be copied, and hold up to twice the body.
                partial
                    .body
                    .reserve(usize::try_from(*left_bytes).unwrap_or(0));
            }
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
                        ..
                    }) = self.partial.take()
                    else {
                        break;
                    };
                    let request = CompleteRequest {
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
