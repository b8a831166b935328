//! The task that owns the admission limits.

use crate::request::identify::Identified;
use balsam_decide::entry::{Arrival, EntryAdmission, EntryLimits, EntryRank, EntryTicket};
use balsam_decide::node::View;
use balsam_decide::settings::SettingsTree;
use balsam_types::{Map, NotRunReason, new_map};
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};

/// The capacity of the task's message queue.
const QUEUE_CAPACITY: usize = 4_096;

/// The admission of one request at this entry daemon. Dropping the permit releases its limits.
#[derive(Debug)]
pub(crate) struct AdmissionPermit {
    ticket: EntryTicket,
    _released: oneshot::Sender<()>,
}

#[derive(Debug)]
enum Message {
    Enter {
        arrival: Arrival,
        reply: oneshot::Sender<Result<AdmissionPermit, NotRunReason>>,
    },
    Buffer {
        ticket: EntryTicket,
        bytes: u64,
        reply: oneshot::Sender<Result<(), NotRunReason>>,
    },
}

/// A handle to the admission task.
#[derive(Clone, Debug)]
pub(crate) struct Admission {
    messages: mpsc::Sender<Message>,
}

impl Admission {
    /// Requests admission for a request, which is refused if a limit of its rank or member is
    /// reached.
    pub(crate) async fn enter(
        &self,
        request: &Identified,
    ) -> Result<AdmissionPermit, NotRunReason> {
        let head = &request.head;
        let arrival = Arrival {
            rank: EntryRank {
                service: head.service.clone(),
                rank: head.rank.clone(),
            },
            member: head.member.clone(),
            weight: request.weight,
            body_length_bytes: head.body_length_bytes,
        };
        let (reply, answer) = oneshot::channel();
        self.submit(Message::Enter { arrival, reply })?;
        answer.await.unwrap_or(Err(NotRunReason::Stopping))
    }

    /// Reserves buffer space for the request body. The space is released with the permit.
    pub(crate) async fn buffer(
        &self,
        permit: &AdmissionPermit,
        bytes: u64,
    ) -> Result<(), NotRunReason> {
        let (reply, answer) = oneshot::channel();
        let ticket = permit.ticket;
        self.submit(Message::Buffer {
            ticket,
            bytes,
            reply,
        })?;
        answer.await.unwrap_or(Err(NotRunReason::Stopping))
    }

    fn submit(&self, message: Message) -> Result<(), NotRunReason> {
        let sent = self.messages.try_send(message);
        sent.map_err(|_| NotRunReason::EntryLimit)
    }
}

/// Starts the task, which ends when every handle has been dropped.
pub(crate) fn start_admission(views: &watch::Receiver<Arc<View>>) -> Admission {
    let (messages, receiver) = mpsc::channel(QUEUE_CAPACITY);
    tokio::spawn(run(views.clone(), receiver));
    Admission { messages }
}

async fn run(mut views: watch::Receiver<Arc<View>>, mut messages: mpsc::Receiver<Message>) {
    let mut settings = Arc::clone(&views.borrow_and_update().state.settings);
    let mut admission = EntryAdmission::new(limits(&settings));
    let mut permits: FuturesUnordered<BoxFuture<'static, EntryTicket>> = FuturesUnordered::new();
    loop {
        tokio::select! {
            message = messages.recv() => match message {
                Some(Message::Enter { arrival, reply }) => {
                    let permit = admission.admit(arrival).map(|ticket| {
                        let (permit, released) = new_permit(ticket);
                        permits.push(released);
                        permit
                    });
                    // If the requester has gone, the permit is dropped here and thereby released.
                    drop(reply.send(permit));
                }
                Some(Message::Buffer { ticket, bytes, reply }) => {
                    // If the requester has gone, the space is released with its permit.
                    let _ = reply.send(admission.buffer(ticket, bytes));
                }
                None => return,
            },
            Some(ticket) = permits.next(), if !permits.is_empty() => admission.release(ticket),
            Ok(()) = views.changed() => {
                let newest = Arc::clone(&views.borrow_and_update().state.settings);
                if !Arc::ptr_eq(&settings, &newest) {
                    settings = newest;
                    admission.set_limits(limits(&settings));
                }
            }
        }
    }
}

fn new_permit(ticket: EntryTicket) -> (AdmissionPermit, BoxFuture<'static, EntryTicket>) {
    let (sender, released) = oneshot::channel();
    let permit = AdmissionPermit {
        ticket,
        _released: sender,
    };
    let released = Box::pin(async move {
        // Nothing is ever sent. The channel closes when the permit is dropped.
        drop(released.await);
        ticket
    });
    (permit, released)
}

fn limits(settings: &SettingsTree) -> Map<EntryRank, EntryLimits> {
    let mut limits = new_map();
    for (service, rank, policy) in settings.rank_policies() {
        let rank = EntryRank {
            service: service.clone(),
            rank: rank.clone(),
        };
        limits.insert(rank, EntryLimits::from(&policy));
    }
    limits
}
