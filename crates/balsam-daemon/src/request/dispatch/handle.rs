//! The handle through which other filters reach the dispatch tasks.

use crate::request::message::{Attempt, AttemptResult, Failure};
use balsam_types::{NotRunReason, UnknownReason};
use tokio::sync::{mpsc, oneshot};

/// A request for a dispatch task.
#[derive(Debug)]
pub(crate) struct DispatchWork {
    /// The request.
    pub(crate) attempt: Attempt,
    /// Where the answer goes.
    pub(crate) reply: oneshot::Sender<AttemptResult>,
    /// Ends when the requester goes away.
    pub(crate) cancelled: oneshot::Receiver<()>,
}

/// A cheap handle to the dispatch tasks.
#[derive(Clone, Debug)]
pub(crate) struct Dispatchers {
    work: mpsc::Sender<DispatchWork>,
}

impl Dispatchers {
    /// Makes a handle that sends to `work`.
    pub(super) const fn new(work: mpsc::Sender<DispatchWork>) -> Self {
        Self { work }
    }

    /// Queues an attempt and waits for its answer; dropping the future cancels the attempt.
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
        // A task that ended without an answer may have sent the request before.
        let lost = Err(Failure::Unknown(UnknownReason::DispatcherLost));
        answer.await.unwrap_or(lost)
    }
}
