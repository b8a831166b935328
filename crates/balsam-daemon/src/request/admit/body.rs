//! Reading of request bodies from callers.

use super::{Admission, AdmissionPermit};
use crate::peer::BodyPart;
use crate::request::clock::instant_at;
use crate::request::identify::Identified;
use crate::request::message::BODY_PART_CAPACITY;
use actix_http::Payload;
use balsam_types::NotRunReason;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use tokio::sync::mpsc;
use tokio::time::timeout_at;

/// The maximum length of a body that is buffered until the answer, so that a retry can send it
/// again.
const REPLAY_BUFFER_MAX_BYTES: u64 = 64 << 10;

/// The request body as received from a caller.
#[derive(Debug)]
pub(crate) enum CallerBody {
    /// A buffered body.
    Whole(Bytes),
    /// A streamed body, which is too long to be buffered.
    Stream {
        /// The first bytes of the body, which are part of the request's fingerprint.
        start: Bytes,
        /// All parts of the body, including `start`.
        parts: mpsc::Receiver<BodyPart>,
    },
}

impl CallerBody {
    /// Returns the first bytes of the body, of which the fingerprint is computed. Their number does
    /// not depend on how the body was split into chunks.
    pub(crate) fn start(&self) -> &[u8] {
        let (Self::Whole(start) | Self::Stream { start, .. }) = self;
        &start[..start.len().min(REPLAY_BUFFER_MAX_BYTES as usize)]
    }
}

/// Reads a short body completely, or the start of a long one.
pub(crate) async fn read_body(
    admission: &Admission,
    permit: &AdmissionPermit,
    request: &Identified,
    mut payload: Payload,
) -> Result<CallerBody, NotRunReason> {
    let length_bytes = request.head.body_length_bytes;
    if length_bytes == Some(0) {
        return Ok(CallerBody::Whole(Bytes::new()));
    }
    let reserved_bytes = length_bytes
        .unwrap_or(REPLAY_BUFFER_MAX_BYTES)
        .min(REPLAY_BUFFER_MAX_BYTES);
    admission.buffer(permit, reserved_bytes).await?;
    let max_bytes = request.policy.body_max_bytes;
    let mut start = BytesMut::new();
    while start.len() as u64 <= REPLAY_BUFFER_MAX_BYTES {
        let next = timeout_at(instant_at(request.deadline), payload.next()).await;
        match next.map_err(|_| NotRunReason::Deadline)? {
            Some(Ok(bytes)) => start.extend_from_slice(&bytes),
            Some(Err(_)) => return Err(NotRunReason::Cancelled),
            None => return Ok(CallerBody::Whole(start.freeze())),
        }
        if start.len() as u64 > max_bytes {
            return Err(NotRunReason::BodyTooLarge);
        }
    }
    let start = start.freeze();
    let (sender, parts) = mpsc::channel(BODY_PART_CAPACITY);
    let left_bytes = max_bytes - start.len() as u64;
    // The payload is not `Send` and stays on the connection's thread.
    actix_rt::spawn(forward_payload(start.clone(), payload, left_bytes, sender));
    Ok(CallerBody::Stream { start, parts })
}

/// Forwards the payload. If it breaks off or is too long, the channel closes without
/// [`BodyPart::End`].
async fn forward_payload(
    start: Bytes,
    mut payload: Payload,
    mut left_bytes: u64,
    parts: mpsc::Sender<BodyPart>,
) {
    if parts.send(BodyPart::Chunk(start)).await.is_err() {
        return;
    }
    while let Some(next) = payload.next().await {
        let Ok(bytes) = next else {
            return;
        };
        let Some(left) = left_bytes.checked_sub(bytes.len() as u64) else {
            return;
        };
        left_bytes = left;
        if parts.send(BodyPart::Chunk(bytes)).await.is_err() {
            return;
        }
    }
    // The send fails if the receiver was dropped.
    drop(parts.send(BodyPart::End).await);
}
