//! The request body over several attempts.

use crate::peer::BodyPart;
use crate::request::admit::CallerBody;
use crate::request::message::RequestBody;
use bytes::Bytes;
use tokio::sync::mpsc;

/// Gives each attempt a body, as long as there is one to give.
#[derive(Debug)]
pub(super) enum BodySource {
    /// Every attempt gets the whole body.
    Whole(Bytes),
    /// The first attempt gets the parts.
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
    /// Returns whether another attempt can be made.
    pub(super) const fn is_left(&self) -> bool {
        matches!(self, Self::Whole(_) | Self::Stream(Some(_)))
    }

    /// Takes the body of the next attempt.
    pub(super) fn take(&mut self) -> Option<RequestBody> {
        match self {
            Self::Whole(bytes) => Some(RequestBody::Whole(bytes.clone())),
            Self::Stream(parts) => parts.take().map(RequestBody::Stream),
        }
    }
}
