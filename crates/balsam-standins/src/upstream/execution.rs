//! A running execution as its task holds it.

use super::state_task::{StateHandle, StateMessage};
use super::{Effect, ExecutionId, Finish, Identity};
use balsam_wire::upstream::AbortCause;
use tokio::sync::mpsc::OwnedPermit;

/// Ends an execution and frees its slot when it is dropped.
///
/// The server drops the request's task when the caller closes its connection, so an execution
/// that is dropped without a finish was cancelled.
#[derive(Debug)]
pub(super) struct EndGuard {
    id: ExecutionId,
    permit: Option<OwnedPermit<StateMessage>>,
    finish: Finish,
}

impl EndGuard {
    pub(super) const fn new(id: ExecutionId, permit: OwnedPermit<StateMessage>) -> Self {
        Self {
            id,
            permit: Some(permit),
            finish: Finish::Aborted(AbortCause::Cancelled),
        }
    }
}

impl Drop for EndGuard {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            permit.send(StateMessage::End {
                id: self.id,
                finish: self.finish,
            });
        }
    }
}

/// One execution and the way to its state.
#[derive(Debug)]
pub(super) struct Execution {
    state: StateHandle,
    end: EndGuard,
}

impl Execution {
    pub(super) const fn new(state: StateHandle, end: EndGuard) -> Self {
        Self { state, end }
    }

    /// Lets the effect take place if the grant still covers it.
    pub(super) async fn effect(&mut self, identity: Identity) -> Result<Effect, AbortCause> {
        let effect = self.state.effect(self.end.id, identity).await;
        let effect = effect.unwrap_or(Err(AbortCause::Cancelled));
        self.note(effect)
    }

    /// Checks that the execution may go on.
    pub(super) async fn recheck(&mut self) -> Result<(), AbortCause> {
        let checked = self.state.recheck(self.end.id).await;
        let checked = checked.unwrap_or(Err(AbortCause::Cancelled));
        self.note(checked)
    }

    /// Sets how the execution ends when it is dropped.
    pub(super) const fn set_finish(&mut self, finish: Finish) {
        self.end.finish = finish;
    }

    fn note<T>(&mut self, result: Result<T, AbortCause>) -> Result<T, AbortCause> {
        if let Err(cause) = &result {
            self.end.finish = Finish::Aborted(*cause);
        }
        result
    }
}
