//! Bodies of answers to callers.

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

/// The answer was cut short; the caller's connection is closed without an end mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the answer was cut short and could not be resumed"))]
pub(crate) struct TruncatedAnswer;

/// The body of an answer.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// A body that this daemon wrote itself.
    Own(Option<Bytes>),
    /// A body that comes in parts.
    Parts(Box<PartsBody>),
    /// No body, whatever length the head gives.
    Empty(BodySize),
}

/// A body that comes in parts.
#[derive(Debug)]
pub(crate) struct PartsBody {
    /// The body.
    pub(crate) parts: mpsc::Receiver<BodyPart>,
    /// Its exact length, if it is known.
    pub(crate) length_bytes: Option<u64>,
    /// Records the end of the request.
    pub(crate) recorder: Recorder,
    /// The request's place, which is kept until the answer has ended.
    pub(crate) _permit: AdmissionPermit,
}

impl MessageBody for AnswerBody {
    type Error = TruncatedAnswer;

    fn size(&self) -> BodySize {
        match self {
            Self::Own(bytes) => BodySize::Sized(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Parts(body) => body.length_bytes.map_or(BodySize::Stream, BodySize::Sized),
            Self::Empty(size) => *size,
        }
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, TruncatedAnswer>>> {
        match self.get_mut() {
            Self::Own(bytes) => Poll::Ready(bytes.take().map(Ok)),
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
