//! The task that owns the upstream's state.

use super::execution::EndGuard;
use super::{
    ControlReply, ControlRequest, Effect, ExecutionId, Finish, Identity, Started, UpstreamOptions,
    UpstreamState, WorkHead,
};
use crate::boot_time;
use balsam_types::Incarnation;
use balsam_wire::upstream::{AbortCause, NotRunCause};
use std::sync::Arc;
use tokio::sync::mpsc::{self, OwnedPermit};
use tokio::sync::oneshot;

/// Messages that wait for the state task; each execution reserves one for its end.
const QUEUE: usize = 1_024;

/// An execution that has begun, with the guard that ends it.
#[derive(Debug)]
pub(super) struct Begun {
    pub(super) started: Started,
    pub(super) end: EndGuard,
}

#[derive(Debug)]
pub(super) enum StateMessage {
    Begin {
        work: WorkHead,
        end: OwnedPermit<Self>,
        reply: oneshot::Sender<Result<Begun, NotRunCause>>,
    },
    Effect {
        id: ExecutionId,
        identity: Identity,
        reply: oneshot::Sender<Result<Effect, AbortCause>>,
    },
    Recheck {
        id: ExecutionId,
        reply: oneshot::Sender<Result<(), AbortCause>>,
    },
    End {
        id: ExecutionId,
        finish: Finish,
    },
    Control {
        request: ControlRequest,
        reply: oneshot::Sender<ControlReply>,
    },
}

/// The way to the state task; its methods return `None` if the task has ended.
#[derive(Clone, Debug)]
pub(super) struct StateHandle {
    messages: mpsc::Sender<StateMessage>,
}

impl StateHandle {
    /// Reserves the place of an execution's end message, so that its end is never lost.
    pub(super) async fn reserve_end(&self) -> Option<OwnedPermit<StateMessage>> {
        self.messages.clone().reserve_owned().await.ok()
    }

    pub(super) async fn begin(
        &self,
        work: WorkHead,
        end: OwnedPermit<StateMessage>,
    ) -> Option<Result<Begun, NotRunCause>> {
        let message = |reply| StateMessage::Begin { work, end, reply };
        self.ask(message).await
    }

    pub(super) async fn effect(
        &self,
        id: ExecutionId,
        identity: Identity,
    ) -> Option<Result<Effect, AbortCause>> {
        let message = |reply| StateMessage::Effect {
            id,
            identity,
            reply,
        };
        self.ask(message).await
    }

    pub(super) async fn recheck(&self, id: ExecutionId) -> Option<Result<(), AbortCause>> {
        self.ask(|reply| StateMessage::Recheck { id, reply }).await
    }

    pub(super) async fn control(&self, request: ControlRequest) -> Option<ControlReply> {
        self.ask(|reply| StateMessage::Control { request, reply })
            .await
    }

    async fn ask<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> StateMessage) -> Option<T> {
        let (reply, replied) = oneshot::channel();
        self.messages.send(message(reply)).await.ok()?;
        replied.await.ok()
    }
}

/// Starts the task; it ends when all handles are dropped.
pub(super) fn spawn_state(incarnation: Incarnation, options: Arc<UpstreamOptions>) -> StateHandle {
    let (messages, received) = mpsc::channel(QUEUE);
    let state = UpstreamState::new(boot_time(), incarnation, options);
    actix_rt::spawn(run(state, received));
    StateHandle { messages }
}

async fn run(mut state: UpstreamState, mut messages: mpsc::Receiver<StateMessage>) {
    while let Some(message) = messages.recv().await {
        handle(&mut state, message);
    }
}

fn handle(state: &mut UpstreamState, message: StateMessage) {
    let now = boot_time();
    match message {
        StateMessage::Begin { work, end, reply } => {
            let begun = state.begin(now, &work).map(|started| Begun {
                started,
                end: EndGuard::new(started.id, end),
            });
            // A cancelled request drops its guard with the reply, which ends the execution.
            let _ = reply.send(begun);
        }
        StateMessage::Effect {
            id,
            identity,
            reply,
        } => {
            // A cancelled request must have no effect.
            if !reply.is_closed() {
                let _ = reply.send(state.effect(now, id, identity));
            }
        }
        StateMessage::Recheck { id, reply } => {
            let _ = reply.send(state.recheck(now, id));
        }
        StateMessage::End { id, finish } => state.end(now, id, finish),
        StateMessage::Control { request, reply } => {
            let _ = reply.send(state.control(now, request));
        }
    }
}
