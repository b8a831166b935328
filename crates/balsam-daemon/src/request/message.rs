//! The messages between the filters.

use crate::peer::BodyPart;
use balsam_types::{NotRunReason, Outcome, ResponseHead, TimeMs, UnknownReason, UpstreamName};
use balsam_wire::peer::RelayRequest;
use bytes::Bytes;
use tokio::sync::mpsc;

/// Parts of one body that wait between two filters; with parts of at most 64 KiB this bounds the
/// memory of a body whose reader is slow.
pub(crate) const BODY_PARTS: usize = 4;

/// A request body on its way to the upstream.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// The body is at hand and can be sent again.
    Whole(Bytes),
    /// The body arrives in parts and can be sent once.
    Stream(mpsc::Receiver<BodyPart>),
}

/// One attempt to have a request served.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// The request and the upstream that owns its key.
    pub(crate) request: RelayRequest,
    /// Its body.
    pub(crate) body: RequestBody,
    /// When the caller stops waiting.
    pub(crate) deadline: TimeMs,
}

/// Why an attempt ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No upstream ran the request, and none will.
    NotRun(NotRunReason),
    /// An upstream may have run the request.
    Unknown(UnknownReason),
}

impl From<Failure> for Outcome {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::NotRun(reason) => Self::NotRun(reason),
            Failure::Unknown(reason) => Self::Unknown(reason),
        }
    }
}

/// An answer whose body follows in parts.
#[derive(Debug)]
pub(crate) struct Answer {
    /// The answer's head.
    pub(crate) head: ResponseHead,
    /// The upstream that answered.
    pub(crate) upstream: UpstreamName,
    /// The body; without [`BodyPart::End`] it is truncated.
    pub(crate) body: mpsc::Receiver<BodyPart>,
}

/// How an attempt ended.
pub(crate) type AttemptResult = Result<Answer, Failure>;
