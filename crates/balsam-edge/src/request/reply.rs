//! Responses to callers.

use balsam_http1::{Fields, Framing, Http1Error, encode_response};
use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc;

/// A part of a streamed body.
#[derive(Debug)]
pub(super) enum BodyPart {
    /// The next bytes.
    Chunk(Bytes),
    /// The body is complete. A stream that ends without this was truncated.
    End,
}

/// A response to one request.
#[derive(Debug)]
pub(super) enum Reply {
    /// A response that the daemon generates itself.
    Local {
        status: u16,
        attempt_id: Option<String>,
        retry_after_ms: Option<u64>,
    },
    /// The complete response of an upstream.
    Whole {
        status: u16,
        fields: Fields,
        body: Bytes,
    },
    /// A response of an upstream whose body is still arriving.
    Stream {
        status: u16,
        fields: Fields,
        length_bytes: Option<u64>,
        parts: mpsc::Receiver<BodyPart>,
    },
}

impl Reply {
    /// Creates a response that the daemon generates itself.
    pub(super) const fn local(status: u16) -> Self {
        Self::Local {
            status,
            attempt_id: None,
            retry_after_ms: None,
        }
    }

    /// Encodes the head, and the body if it is complete.
    pub(super) fn encode(
        &self,
        attempt_id_name: &str,
        close: bool,
        is_head_request: bool,
    ) -> Result<BytesMut, Http1Error> {
        let mut added: Vec<(&str, &str)> = Vec::new();
        if close {
            added.push(("Connection", "close"));
        }
        match self {
            Self::Local {
                status,
                attempt_id,
                retry_after_ms,
            } => {
                let seconds = retry_after_ms.map(|ms| format!("{}.{:03}", ms / 1_000, ms % 1_000));
                if let Some(seconds) = &seconds {
                    added.push(("Retry-After", seconds));
                }
                if let Some(id) = attempt_id {
                    added.push((attempt_id_name, id));
                }
                encode_response(*status, std::iter::empty(), &added, Framing::Length(0))
            }
            Self::Whole {
                status,
                fields,
                body,
            } => {
                let framing = match (*status, is_head_request) {
                    (204 | 304, _) | (_, true) => Framing::None,
                    _ => Framing::Length(body.len() as u64),
                };
                let mut out = encode_response(*status, fields.end_to_end(), &added, framing)?;
                out.extend_from_slice(body);
                Ok(out)
            }
            Self::Stream {
                status,
                fields,
                length_bytes,
                ..
            } => {
                let framing = length_bytes.map_or(Framing::Chunked, Framing::Length);
                encode_response(*status, fields.end_to_end(), &added, framing)
            }
        }
    }
}
