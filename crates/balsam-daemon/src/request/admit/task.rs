//! The task that owns the entry bounds.

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

/// Requests that may be on their way to the task.
const QUEUE: usize = 4_096;

/// A place of one request at this entry daemon; dropping it gives the place back.
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

/// A cheap handle to the task.
#[derive(Clone, Debug)]
pub(crate) struct Admission {
    messages: mpsc::Sender<Message>,
}

impl Admission {
    /// Asks for a place.
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

    /// Asks for buffer space, which is given back with the place.
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

/// Starts the task; it ends when every handle is dropped.
pub(crate) fn start_admission(views: &watch::Receiver<Arc<View>>) -> Admission {
    let (messages, receiver) = mpsc::channel(QUEUE);
    tokio::spawn(run(views.clone(), receiver));
    Admission { messages }
}

async fn run(mut views: watch::Receiver<Arc<View>>, mut messages: mpsc::Receiver<Message>) {
    let mut settings = Arc::clone(&views.borrow_and_update().state.settings);
    let mut bounds = EntryAdmission::new(limits(&settings));
    let mut held: FuturesUnordered<BoxFuture<'static, EntryTicket>> = FuturesUnordered::new();
    loop {
        tokio::select! {
            message = messages.recv() => match message {
                Some(Message::Enter { arrival, reply }) => {
                    let permit = bounds.admit(arrival).map(|ticket| {
                        let (permit, released) = make_permit(ticket);
                        held.push(released);
                        permit
                    });
                    // A permit that no one receives is dropped and so given back.
                    drop(reply.send(permit));
                }
                Some(Message::Buffer { ticket, bytes, reply }) => {
                    // The space is given back with the place.
                    let _ = reply.send(bounds.buffer(ticket, bytes));
                }
                None => return,
            },
            Some(ticket) = held.next(), if !held.is_empty() => bounds.release(ticket),
            Ok(()) = views.changed() => {
                let newest = Arc::clone(&views.borrow_and_update().state.settings);
                if !Arc::ptr_eq(&settings, &newest) {
                    settings = newest;
                    bounds.set_limits(limits(&settings));
                }
            }
        }
    }
}

fn make_permit(ticket: EntryTicket) -> (AdmissionPermit, BoxFuture<'static, EntryTicket>) {
    let (sender, released) = oneshot::channel();
    let permit = AdmissionPermit {
        ticket,
        _released: sender,
    };
    let released = Box::pin(async move {
        // Nothing is sent; the channel ends when the permit is dropped.
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
