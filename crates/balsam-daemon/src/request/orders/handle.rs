//! The handle through which requests claim their orders.

use balsam_decide::orders::{OrderInput, OrderKey, RecordedOutcome};
use balsam_types::{TimeMs, UnknownReason};
use tokio::sync::{mpsc, oneshot};

/// What came of an attempt to claim an order.
#[derive(Debug)]
pub(crate) enum Claim {
    /// The request holds the claim and may run.
    Held(OrderClaim),
    /// Another request holds or held the claim.
    Taken(Option<RecordedOutcome>),
    /// The claim was not confirmed before the deadline.
    Unavailable,
}

/// A message to the orders task.
#[derive(Debug)]
pub(super) enum Message {
    /// Claims an order.
    Claim {
        key: OrderKey,
        deadline: TimeMs,
        reply: oneshot::Sender<Claim>,
    },
    /// Ends a claim.
    Ended(OrderInput),
}

/// A cheap handle to the orders task.
#[derive(Clone, Debug)]
pub(crate) struct OrderDesk {
    messages: mpsc::Sender<Message>,
}

impl OrderDesk {
    pub(super) const fn new(messages: mpsc::Sender<Message>) -> Self {
        Self { messages }
    }

    /// Claims an order.
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

/// A claim that this daemon holds.
///
/// A claim that is dropped without a word is recorded as unknown, because its request may have run.
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

    /// Records how the order ended.
    pub(crate) async fn finished(mut self, outcome: RecordedOutcome) {
        let ticket = self.ticket;
        self.end(OrderInput::Finished { ticket, outcome }).await;
    }

    /// Releases the claim of an order that was not run.
    pub(crate) async fn not_run(mut self) {
        let ticket = self.ticket;
        self.end(OrderInput::NotRun { ticket }).await;
    }

    /// Drops the claim without recording anything.
    pub(super) fn forget(mut self) {
        self.messages = None;
    }

    async fn end(&mut self, input: OrderInput) {
        if let Some(messages) = self.messages.take() {
            // The task outlives its claims unless the process ends; the claim then stays.
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
        // A claim that cannot be ended stays in the table and is answered as unknown as well.
        drop(messages.try_send(Message::Ended(input)));
    }
}
