//! Responses to callers.

use crate::memory::Held;
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

/// A complete response of an upstream.
#[derive(Debug)]
pub(super) struct WholeResponse {
    pub(super) status: u16,
    pub(super) fields: Fields,
    pub(super) body: Bytes,
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
        response: WholeResponse,
        /// The bytes that the exchange holds until the response is written.
        held: Box<Held>,
    },
    /// A response of an upstream whose body is still arriving.
    Stream {
        status: u16,
        fields: Fields,
        length_bytes: Option<u64>,
        parts: mpsc::Receiver<BodyPart>,
        /// The bytes that the exchange holds until the response is written.
        held: Box<Held>,
    },
}

impl Reply {
    /// Returns the status.
    pub(super) const fn status(&self) -> u16 {
        match self {
            Self::Whole { response, .. } => response.status,
            Self::Local { status, .. } | Self::Stream { status, .. } => *status,
        }
    }

    /// Creates a response that the daemon generates itself.
    pub(super) const fn local(status: u16) -> Self {
        Self::Local {
            status,
            attempt_id: None,
            retry_after_ms: None,
        }
    }

    /// Encodes the head.
    pub(super) fn encode_head(
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
            Self::Whole { response, .. } => {
                let WholeResponse {
                    status,
                    fields,
                    body,
                } = response;
                let framing = match (*status, is_head_request) {
                    (204 | 304, _) | (_, true) => Framing::None,
                    _ => Framing::Length(body.len() as u64),
                };
                encode_response(*status, fields.end_to_end(), &added, framing)
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
