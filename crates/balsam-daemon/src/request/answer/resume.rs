//! Resumes answers that were cut short.

use crate::peer::BodyPart;
use crate::request::message::Answer;
use balsam_types::{HeaderField, RequestHead, ResponseHead};
use log::debug;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Resumptions of one answer; each draws on the retry budget as well.
const RESUMPTIONS_MAX: u32 = 3;

/// What a resumed answer must have in common with the one that was cut short.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Resumable {
    etag: Vec<u8>,
    length_bytes: u64,
}

impl Resumable {
    /// Returns how an answer can be resumed, or `None` if it cannot.
    ///
    /// Only a whole representation with a strong `ETag` and a known length can be: its later parts
    /// then have the same bytes.
    pub(crate) fn of(request: &RequestHead, answer: &ResponseHead) -> Option<Self> {
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

    /// Returns the request for the bytes from `offset_bytes` on.
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

    /// Returns whether an answer holds exactly the missing bytes of the same representation.
    fn is_rest(&self, answer: &ResponseHead, offset_bytes: u64) -> bool {
        let last = self.length_bytes.saturating_sub(1);
        let range = format!("bytes {offset_bytes}-{last}/{}", self.length_bytes);
        answer.status == 206
            && answer.body_length_bytes == self.length_bytes.checked_sub(offset_bytes)
            && field(&answer.headers, "etag") == Some(&self.etag)
            && field(&answer.headers, "content-range") == Some(range.as_bytes())
    }
}

/// Passes an answer on and resumes it when it is cut short.
///
/// `again` makes one more attempt with another head, or returns `None` if none is left.
pub(crate) async fn stream_resuming(
    resumable: Resumable,
    request: RequestHead,
    first: mpsc::Receiver<BodyPart>,
    mut again: impl AsyncFnMut(RequestHead) -> Option<Answer>,
    parts: mpsc::Sender<BodyPart>,
) {
    let mut body = first;
    let mut passed_bytes = 0;
    for _ in 0..=RESUMPTIONS_MAX {
        match pass(&mut body, &mut passed_bytes, &parts).await {
            Passed::End | Passed::Left => return,
            Passed::Truncated => {}
        }
        if passed_bytes == resumable.length_bytes {
            // All bytes of the known length have passed, although the end mark is missing.
            drop(parts.send(BodyPart::End).await);
            return;
        }
        let rest = resumable.rest(&request, passed_bytes);
        let answer = tokio::select! {
            answer = again(rest) => answer,
            () = parts.closed() => return,
        };
        match answer {
            Some(answer) if resumable.is_rest(&answer.head, passed_bytes) => body = answer.body,
            Some(_) | None => return debug!("an answer cut at {passed_bytes} was not resumed"),
        }
    }
}

/// How the passing of a body ended.
enum Passed {
    End,
    Truncated,
    Left,
}

async fn pass(
    body: &mut mpsc::Receiver<BodyPart>,
    passed_bytes: &mut u64,
    parts: &mpsc::Sender<BodyPart>,
) -> Passed {
    loop {
        let part = tokio::select! {
            part = body.recv() => part,
            () = parts.closed() => return Passed::Left,
        };
        let Some(part) = part else {
            return Passed::Truncated;
        };
        let is_end = part == BodyPart::End;
        if let BodyPart::Chunk(bytes) = &part {
            *passed_bytes += bytes.len() as u64;
        }
        if parts.send(part).await.is_err() {
            return Passed::Left;
        }
        if is_end {
            return Passed::End;
        }
    }
}

fn field<'a>(fields: &'a [HeaderField], name: &str) -> Option<&'a [u8]> {
    let found = fields.iter().find(|field| *field.name == *name);
    found.map(|field| field.value.as_slice())
}
