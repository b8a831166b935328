//! Answers to callers.

use balsam_http1::{Fields, Framing, Http1Error, encode_response};
use bytes::{Bytes, BytesMut};
use tokio::sync::mpsc;

/// A part of a streamed body.
#[derive(Debug)]
pub(super) enum Part {
    /// The next bytes.
    Chunk(Bytes),
    /// The body is complete. A stream that ends without this was cut short.
    End,
}

/// An answer to one request.
#[derive(Debug)]
pub(super) enum Reply {
    /// An answer of the daemon itself.
    Own {
        status: u16,
        attempt_id: Option<String>,
        retry_after_ms: Option<u64>,
    },
    /// An upstream's whole answer.
    Whole {
        status: u16,
        fields: Fields,
        body: Bytes,
    },
    /// An upstream's answer whose body is still arriving.
    Stream {
        status: u16,
        fields: Fields,
        length_bytes: Option<u64>,
        parts: mpsc::Receiver<Part>,
    },
}

impl Reply {
    /// Makes an answer of the daemon itself.
    pub(super) const fn own(status: u16) -> Self {
        Self::Own {
            status,
            attempt_id: None,
            retry_after_ms: None,
        }
    }

    /// Encodes the head, and the body if it is whole.
    pub(super) fn encode(
        &self,
        id_name: &str,
        close: bool,
        to_head: bool,
    ) -> Result<BytesMut, Http1Error> {
        let mut added: Vec<(&str, &str)> = Vec::new();
        if close {
            added.push(("Connection", "close"));
        }
        match self {
            Self::Own {
                status,
                attempt_id,
                retry_after_ms,
            } => {
                let seconds = retry_after_ms.map(|ms| format!("{}.{:03}", ms / 1_000, ms % 1_000));
                if let Some(seconds) = &seconds {
                    added.push(("Retry-After", seconds));
                }
                if let Some(id) = attempt_id {
                    added.push((id_name, id));
                }
                encode_response(*status, std::iter::empty(), &added, Framing::Length(0))
            }
            Self::Whole {
                status,
                fields,
                body,
            } => {
                let framing = match (*status, to_head) {
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
