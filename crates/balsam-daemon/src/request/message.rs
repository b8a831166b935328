//! Types that the request filters exchange.

use crate::peer::BodyPart;
use balsam_types::{NotRunReason, Outcome, ResponseHead, TimeMs, UnknownReason, UpstreamName};
use balsam_wire::peer::RelayRequest;
use bytes::Bytes;
use tokio::sync::mpsc;

/// The capacity of the channel that carries a body between two filters.
///
/// Parts hold at most 64 KiB, so this bounds the memory of a body whose reader is slow.
pub(crate) const BODY_PART_CAPACITY: usize = 4;

/// The request body of one attempt.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// A buffered body, which can be sent again by a retry.
    Whole(Bytes),
    /// A streamed body, which can be sent only once.
    Stream(mpsc::Receiver<BodyPart>),
}

/// One attempt to run a request on an upstream.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// The request, with the upstream that owns its key.
    pub(crate) request: RelayRequest,
    /// The request body.
    pub(crate) body: RequestBody,
    /// The time at which the caller stops waiting.
    pub(crate) deadline: TimeMs,
}

/// The reason why an attempt ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No upstream ran the request or will run it later.
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

/// An answer whose body is streamed.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) head: ResponseHead,
    /// The upstream that answered.
    pub(crate) upstream: UpstreamName,
    /// The body. A channel that closes before [`BodyPart::End`] means that the body is truncated.
    pub(crate) body: mpsc::Receiver<BodyPart>,
}

/// The result of one attempt.
pub(crate) type AttemptResult = Result<Answer, Failure>;
