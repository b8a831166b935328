//! The handle through which other filters send requests to the dispatch tasks.

use crate::request::message::{Attempt, AttemptResult, Failure};
use balsam_types::{NotRunReason, UnknownReason};
use tokio::sync::{mpsc, oneshot};

/// A request for a dispatch task, with the channels for its result and its cancellation.
#[derive(Debug)]
pub(crate) struct DispatchWork {
    pub(crate) attempt: Attempt,
    /// Receives the result of the attempt.
    pub(crate) reply: oneshot::Sender<AttemptResult>,
    /// Closes when the requester disconnects. Nothing is ever sent on it.
    pub(crate) cancelled: oneshot::Receiver<()>,
}

/// A handle to the dispatch tasks.
#[derive(Clone, Debug)]
pub(crate) struct Dispatchers {
    work: mpsc::Sender<DispatchWork>,
}

impl Dispatchers {
    pub(super) const fn new(work: mpsc::Sender<DispatchWork>) -> Self {
        Self { work }
    }

    /// Queues an attempt and waits for its result. Dropping the future cancels the attempt.
    pub(crate) async fn dispatch(&self, attempt: Attempt) -> AttemptResult {
        let (reply, answer) = oneshot::channel();
        let (_cancel, cancelled) = oneshot::channel();
        let work = DispatchWork {
            attempt,
            reply,
            cancelled,
        };
        if self.work.try_send(work).is_err() {
            return Err(Failure::NotRun(NotRunReason::QueueFull));
        }
        // A dispatch task that ended without a result may already have sent the request.
        let lost = Err(Failure::Unknown(UnknownReason::DispatcherLost));
        answer.await.unwrap_or(lost)
    }
}
