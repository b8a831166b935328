//! Response bodies for callers.

use crate::peer::BodyPart;
use crate::request::admit::AdmissionPermit;
use crate::request::record::Recorder;
use actix_http::body::{BodySize, MessageBody};
use balsam_types::{Outcome, UnknownReason};
use bytes::Bytes;
use snafu::Snafu;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// The answer was truncated. The caller's connection is closed without an end marker, so that the
/// caller can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the answer was cut short and could not be resumed"))]
pub(crate) struct TruncatedAnswer;

/// The body of a response to a caller.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// A complete body in memory.
    Buffered(Option<Bytes>),
    /// A streamed body.
    Parts(Box<PartsBody>),
    /// No body, even if the head states a length, as for `HEAD` requests.
    Empty(BodySize),
}

/// A streamed body.
#[derive(Debug)]
pub(crate) struct PartsBody {
    /// Receives the parts of the body.
    pub(crate) parts: mpsc::Receiver<BodyPart>,
    /// The exact length of the body in bytes, if it is known.
    pub(crate) length_bytes: Option<u64>,
    /// Records the outcome of the request when the body ends.
    pub(crate) recorder: Recorder,
    /// The admission permit, which is held until the answer has ended.
    pub(crate) _permit: AdmissionPermit,
}

impl MessageBody for AnswerBody {
    type Error = TruncatedAnswer;

    fn size(&self) -> BodySize {
        match self {
            Self::Buffered(bytes) => BodySize::Sized(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Parts(body) => body.length_bytes.map_or(BodySize::Stream, BodySize::Sized),
            Self::Empty(size) => *size,
        }
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, TruncatedAnswer>>> {
        match self.get_mut() {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(Ok)),
            Self::Parts(body) => body.poll_part(cx),
            Self::Empty(_) => Poll::Ready(None),
        }
    }
}

impl PartsBody {
    fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, TruncatedAnswer>>> {
        self.parts.poll_recv(cx).map(|part| match part {
            Some(BodyPart::Chunk(bytes)) => Some(Ok(bytes)),
            Some(BodyPart::End) => {
                self.recorder.finish(Outcome::Answered);
                None
            }
            None => {
                let truncated = Outcome::Unknown(UnknownReason::AnswerTruncated);
                self.recorder.finish(truncated);
                Some(Err(TruncatedAnswer))
            }
        })
    }
}
