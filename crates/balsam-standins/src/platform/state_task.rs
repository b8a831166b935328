//! The task that owns the platform's state.

use super::{PlatformReply, PlatformRequest, PlatformState};
use crate::boot_time;
use balsam_wire::platform::PlatformFaults;
use tokio::sync::{mpsc, oneshot, watch};

/// Requests that wait for the state task; more wait in their connection tasks.
const QUEUE: usize = 256;

#[derive(Debug)]
enum StateMessage {
    Request {
        request: PlatformRequest,
        reply: oneshot::Sender<PlatformReply>,
    },
    CountFaulted,
}

/// The way to the state task.
#[derive(Clone, Debug)]
pub(super) struct StateHandle {
    messages: mpsc::Sender<StateMessage>,
    faults: watch::Receiver<PlatformFaults>,
}

impl StateHandle {
    /// Returns the fault switches as they are now.
    pub(super) fn faults(&self) -> PlatformFaults {
        *self.faults.borrow()
    }

    /// Applies `request`; `None` if the state task has ended.
    pub(super) async fn apply(&self, request: PlatformRequest) -> Option<PlatformReply> {
        let (reply, replied) = oneshot::channel();
        let message = StateMessage::Request { request, reply };
        self.messages.send(message).await.ok()?;
        replied.await.ok()
    }

    /// Counts a request that a fault switch stopped.
    pub(super) async fn count_faulted(&self) {
        // The count is lost only when the server ends.
        let _ = self.messages.send(StateMessage::CountFaulted).await;
    }
}

/// Starts the task; it ends when all handles are dropped.
pub(super) fn spawn_state() -> StateHandle {
    let (messages, received) = mpsc::channel(QUEUE);
    let (publish, faults) = watch::channel(PlatformFaults::default());
    actix_rt::spawn(run(received, publish));
    StateHandle { messages, faults }
}

async fn run(mut messages: mpsc::Receiver<StateMessage>, publish: watch::Sender<PlatformFaults>) {
    let mut state = PlatformState::new();
    while let Some(message) = messages.recv().await {
        match message {
            StateMessage::CountFaulted => state.count_faulted(),
            StateMessage::Request { request, reply } => {
                let answer = state.handle(boot_time(), request);
                publish.send_replace(state.faults());
                // A caller that has gone does not need its answer.
                let _ = reply.send(answer);
            }
        }
    }
}
