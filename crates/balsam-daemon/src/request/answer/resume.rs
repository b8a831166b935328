//! Resumes truncated answers with range requests.

use crate::peer::BodyPart;
use crate::request::message::Answer;
use balsam_types::{HeaderField, RequestHead, ResponseHead};
use log::debug;
use std::sync::Arc;
use tokio::sync::mpsc;

/// The maximum number of resumptions of one answer. Each one also draws on the retry budget.
const MAX_RESUMPTIONS: u32 = 3;

/// The properties of a truncated answer that the answer to a range request must match.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Resumable {
    etag: Vec<u8>,
    length_bytes: u64,
}

impl Resumable {
    /// Returns the properties to match, or `None` if the answer cannot be resumed.
    ///
    /// Only a complete representation with a strong `ETag` and a known length can be resumed: an
    /// equal `ETag` then guarantees identical bytes.
    pub(crate) fn from_heads(request: &RequestHead, answer: &ResponseHead) -> Option<Self> {
        let is_plain_read = &*request.method == "GET" && field(&request.headers, "range").is_none();
        let etag = field(&answer.headers, "etag")?;
        let is_strong = etag.starts_with(b"\"") && etag.len() >= 2 && etag.ends_with(b"\"");
        let is_whole = answer.status == 200 && is_plain_read && is_strong;
        let length_bytes = answer.body_length_bytes.filter(|_| is_whole)?;
        Some(Self {
            etag: etag.to_vec(),
            length_bytes,
        })
    }

    /// Returns the range request for the bytes from `offset_bytes` on.
    fn rest(&self, request: &RequestHead, offset_bytes: u64) -> RequestHead {
        let mut rest = request.clone();
        let is_conditional =
            |field: &HeaderField| field.name.starts_with("if-") || &*field.name == "range";
        rest.headers.retain(|field| !is_conditional(field));
        let range = format!("bytes={offset_bytes}-");
        rest.headers.push(HeaderField {
            name: Arc::from("range"),
            value: range.into_bytes(),
        });
        rest.headers.push(HeaderField {
            name: Arc::from("if-range"),
            value: self.etag.clone(),
        });
        rest
    }

    /// Returns whether an answer contains exactly the missing bytes of the same representation.
    fn is_rest(&self, answer: &ResponseHead, offset_bytes: u64) -> bool {
        let last = self.length_bytes.saturating_sub(1);
        let range = format!("bytes {offset_bytes}-{last}/{}", self.length_bytes);
        answer.status == 206
            && answer.body_length_bytes == self.length_bytes.checked_sub(offset_bytes)
            && field(&answer.headers, "etag") == Some(&self.etag)
            && field(&answer.headers, "content-range") == Some(range.as_bytes())
    }
}

/// Forwards an answer and resumes it if it is truncated.
///
/// `retry_with` makes another attempt with the given head, or returns `None` if no further attempt
/// is allowed.
pub(crate) async fn stream_resuming(
    resumable: Resumable,
    request: RequestHead,
    first: mpsc::Receiver<BodyPart>,
    mut retry_with: impl AsyncFnMut(RequestHead) -> Option<Answer>,
    parts: mpsc::Sender<BodyPart>,
) {
    let mut body = first;
    let mut forwarded_bytes = 0;
    for _ in 0..=MAX_RESUMPTIONS {
        match forward_body(&mut body, &mut forwarded_bytes, &parts).await {
            ForwardEnd::End | ForwardEnd::ReceiverClosed => return,
            ForwardEnd::Truncated => {}
        }
        if forwarded_bytes == resumable.length_bytes {
            // All bytes of the known length have been forwarded, although the end marker is
            // missing.
            drop(parts.send(BodyPart::End).await);
            return;
        }
        let rest = resumable.rest(&request, forwarded_bytes);
        let answer = tokio::select! {
            answer = retry_with(rest) => answer,
            () = parts.closed() => return,
        };
        match answer {
            Some(answer) if resumable.is_rest(&answer.head, forwarded_bytes) => body = answer.body,
            Some(_) | None => return debug!("answer cut at {forwarded_bytes} bytes not resumed"),
        }
    }
}

/// How the forwarding of a body ended.
enum ForwardEnd {
    End,
    Truncated,
    ReceiverClosed,
}

async fn forward_body(
    body: &mut mpsc::Receiver<BodyPart>,
    forwarded_bytes: &mut u64,
    parts: &mpsc::Sender<BodyPart>,
) -> ForwardEnd {
    loop {
        let part = tokio::select! {
            part = body.recv() => part,
            () = parts.closed() => return ForwardEnd::ReceiverClosed,
        };
        let Some(part) = part else {
            return ForwardEnd::Truncated;
        };
        let is_end = part == BodyPart::End;
        if let BodyPart::Chunk(bytes) = &part {
            *forwarded_bytes += bytes.len() as u64;
        }
        if parts.send(part).await.is_err() {
            return ForwardEnd::ReceiverClosed;
        }
        if is_end {
            return ForwardEnd::End;
        }
    }
}

fn field<'a>(fields: &'a [HeaderField], name: &str) -> Option<&'a [u8]> {
    let found = fields.iter().find(|field| *field.name == *name);
    found.map(|field| field.value.as_slice())
}
