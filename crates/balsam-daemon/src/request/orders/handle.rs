//! The handle to the orders task and the claims that it grants.

use balsam_decide::orders::{OrderInput, OrderKey, RecordedOutcome};
use balsam_types::{TimeMs, UnknownReason};
use tokio::sync::{mpsc, oneshot};

/// The result of an attempt to claim an order.
#[derive(Debug)]
pub(crate) enum Claim {
    /// The claim was granted, so the request may run.
    Held(OrderClaim),
    /// Another request has claimed the order. Holds its recorded outcome, if there is one yet.
    Taken(Option<RecordedOutcome>),
    /// The claim was not confirmed before the deadline.
    Unavailable,
}

#[derive(Debug)]
pub(super) enum Message {
    /// Tries to claim an order and replies with the result.
    Claim {
        key: OrderKey,
        deadline: TimeMs,
        reply: oneshot::Sender<Claim>,
    },
    /// Ends a claim and records its outcome or releases it.
    Ended(OrderInput),
}

/// A handle to the orders task.
#[derive(Clone, Debug)]
pub(crate) struct OrdersHandle {
    messages: mpsc::Sender<Message>,
}

impl OrdersHandle {
    pub(super) const fn new(messages: mpsc::Sender<Message>) -> Self {
        Self { messages }
    }

    /// Tries to claim the order `key` before `deadline`.
    pub(crate) async fn claim(&self, key: OrderKey, deadline: TimeMs) -> Claim {
        let (reply, claim) = oneshot::channel();
        let message = Message::Claim {
            key,
            deadline,
            reply,
        };
        if self.messages.try_send(message).is_err() {
            return Claim::Unavailable;
        }
        claim.await.unwrap_or(Claim::Unavailable)
    }
}

/// An order claim that this daemon holds.
///
/// A claim that is dropped without [`OrderClaim::finish`] or [`OrderClaim::release`] is recorded as
/// unknown, because its request may have run.
#[derive(Debug)]
pub(crate) struct OrderClaim {
    ticket: u64,
    messages: Option<mpsc::Sender<Message>>,
}

impl OrderClaim {
    pub(super) const fn new(ticket: u64, messages: mpsc::Sender<Message>) -> Self {
        Self {
            ticket,
            messages: Some(messages),
        }
    }

    /// Records the outcome of the order and ends the claim.
    pub(crate) async fn finish(mut self, outcome: RecordedOutcome) {
        let ticket = self.ticket;
        self.send_end(OrderInput::Finished { ticket, outcome })
            .await;
    }

    /// Releases the claim of an order that was not run, so that a retry can claim it.
    pub(crate) async fn release(mut self) {
        let ticket = self.ticket;
        self.send_end(OrderInput::NotRun { ticket }).await;
    }

    /// Disarms the drop guard, so that dropping the claim records nothing.
    pub(super) fn disarm(mut self) {
        self.messages = None;
    }

    async fn send_end(&mut self, input: OrderInput) {
        if let Some(messages) = self.messages.take() {
            // The task outlives its claims unless the process ends, in which case the claim stays
            // in the table.
            drop(messages.send(Message::Ended(input)).await);
        }
    }
}

impl Drop for OrderClaim {
    fn drop(&mut self) {
        let Some(messages) = self.messages.take() else {
            return;
        };
        let input = OrderInput::Finished {
            ticket: self.ticket,
            outcome: RecordedOutcome::Unknown(UnknownReason::UpstreamLost),
        };
        // If the queue is full, the claim stays in the table, and later arrivals of the order also
        // get an unknown outcome.
        drop(messages.try_send(Message::Ended(input)));
    }
}
