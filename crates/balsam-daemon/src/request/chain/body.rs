//! The request body across several attempts.

use crate::peer::BodyPart;
use crate::request::admit::CallerBody;
use crate::request::message::RequestBody;
use bytes::Bytes;
use tokio::sync::mpsc;

/// The source of the request body for each attempt.
#[derive(Debug)]
pub(super) enum BodySource {
    /// A buffered body, which every attempt gets whole.
    Whole(Bytes),
    /// A streamed body, which only the first attempt can take.
    Stream(Option<mpsc::Receiver<BodyPart>>),
}

impl From<CallerBody> for BodySource {
    fn from(body: CallerBody) -> Self {
        match body {
            CallerBody::Whole(bytes) => Self::Whole(bytes),
            CallerBody::Stream { parts, .. } => Self::Stream(Some(parts)),
        }
    }
}

impl BodySource {
    /// Returns whether there is a body for another attempt.
    pub(super) const fn is_available(&self) -> bool {
        matches!(self, Self::Whole(_) | Self::Stream(Some(_)))
    }

    /// Takes the body for the next attempt, or returns `None` if it was streamed already.
    pub(super) fn take(&mut self) -> Option<RequestBody> {
        match self {
            Self::Whole(bytes) => Some(RequestBody::Whole(bytes.clone())),
            Self::Stream(parts) => parts.take().map(RequestBody::Stream),
        }
    }
}
