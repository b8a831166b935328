//! The task that owns the orders state machine and runs its table operations.

use super::handle::Message;
use super::{Claim, OrderClaim, OrdersHandle};
use crate::control::edge::TableClient;
use crate::request::clock::{instant_at, now};
use balsam_decide::node::View;
use balsam_decide::orders::{OrderInput, OrderOutput, Orders};
use balsam_decide::settings::SettingsTree;
use balsam_types::settings::{NodePath, SettingKey};
use balsam_types::{Map, new_map};
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep_until;

/// The capacity of the task's message queue.
const QUEUE_CAPACITY: usize = 4_096;

/// Starts the task, which ends when every handle and claim has been dropped and every outcome has
/// been written.
pub(crate) fn start_orders(
    views: &watch::Receiver<Arc<View>>,
    table: &TableClient,
    seed: u64,
) -> OrdersHandle {
    let (messages, receiver) = mpsc::channel(QUEUE_CAPACITY);
    let task = OrdersTask {
        machine: None,
        seed,
        views: views.clone(),
        table: table.clone(),
        operations: FuturesUnordered::new(),
        waiting: new_map(),
        messages: messages.downgrade(),
        next_ticket: 0,
    };
    tokio::spawn(task.run(receiver));
    OrdersHandle::new(messages)
}

struct OrdersTask {
    /// Created at the first claim, because only then is the daemon's incarnation known to be in the
    /// view.
    machine: Option<Orders>,
    seed: u64,
    views: watch::Receiver<Arc<View>>,
    table: TableClient,
    /// The table operations in progress.
    operations: FuturesUnordered<BoxFuture<'static, OrderInput>>,
    /// The requests that wait for the result of their claim, by ticket.
    waiting: Map<u64, oneshot::Sender<Claim>>,
    /// Cloned into each granted claim. Weak, so that the task itself does not keep its queue open.
    messages: mpsc::WeakSender<Message>,
    next_ticket: u64,
}

impl OrdersTask {
    async fn run(mut self, mut messages: mpsc::Receiver<Message>) {
        let mut views = self.views.clone();
        let mut settings = Arc::clone(&views.borrow_and_update().state.settings);
        loop {
            let wake = self
                .machine
                .as_ref()
                .and_then(|orders| orders.next_wake(now()));
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => break,
                },
                Some(input) = self.operations.next(), if !self.operations.is_empty() => {
                    self.step(input);
                }
                () = sleep_until(instant_at(wake.unwrap_or_default())), if wake.is_some() => {
                    self.step(OrderInput::Tick);
                }
                Ok(()) = views.changed() => {
                    let newest = Arc::clone(&views.borrow_and_update().state.settings);
                    if !Arc::ptr_eq(&settings, &newest) {
                        settings = newest;
                        if let Some(orders) = &mut self.machine {
                            orders.set_group_ms(group_ms(&settings));
                        }
                    }
                }
            }
        }
        self.flush_outcomes().await;
    }

    /// Writes the outcomes that are still pending when the daemon stops.
    async fn flush_outcomes(&mut self) {
        while self
            .machine
            .as_ref()
            .is_some_and(|orders| !orders.is_empty())
        {
            let wake = self
                .machine
                .as_ref()
                .and_then(|orders| orders.next_wake(now()));
            tokio::select! {
                Some(input) = self.operations.next(), if !self.operations.is_empty() => {
                    self.step(input);
                }
                () = sleep_until(instant_at(wake.unwrap_or_default())), if wake.is_some() => {
                    self.step(OrderInput::Tick);
                }
                else => return,
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Claim {
                key,
                deadline,
                reply,
            } => {
                let ticket = self.next_ticket;
                self.next_ticket += 1;
                self.waiting.insert(ticket, reply);
                self.step(OrderInput::Claim {
                    ticket,
                    key,
                    deadline,
                });
            }
            Message::Ended(input) => self.step(input),
        }
    }

    fn step(&mut self, input: OrderInput) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in self.machine().handle(now(), input) {
                inputs.extend(self.execute(output));
            }
        }
    }

    fn machine(&mut self) -> &mut Orders {
        let (views, seed) = (&self.views, self.seed);
        self.machine.get_or_insert_with(|| {
            let view = Arc::clone(&views.borrow());
            Orders::new(view.me, seed, group_ms(&view.state.settings))
        })
    }

    /// Executes an output of the state machine and returns an input that follows from it
    /// immediately.
    fn execute(&mut self, output: OrderOutput) -> Option<OrderInput> {
        let table = self.table.clone();
        match output {
            OrderOutput::Transact { attempt, writes } => {
                self.operations.push(Box::pin(async move {
                    let result = table.write_orders(writes).await;
                    OrderInput::TxDone { attempt, result }
                }));
                None
            }
            OrderOutput::Read { attempt, keys } => {
                self.operations.push(Box::pin(async move {
                    let rows = table.read_orders(keys).await;
                    OrderInput::ReadDone { attempt, rows }
                }));
                None
            }
            OrderOutput::Claimed { ticket } => self.deliver_claim(ticket),
            OrderOutput::AlreadyClaimed { ticket, outcome } => {
                self.reply(ticket, Claim::Taken(outcome));
                None
            }
            OrderOutput::Unavailable { ticket } => {
                self.reply(ticket, Claim::Unavailable);
                None
            }
        }
    }

    /// Delivers a granted claim to its request, or releases the claim if the request was cancelled.
    fn deliver_claim(&mut self, ticket: u64) -> Option<OrderInput> {
        let not_run = Some(OrderInput::NotRun { ticket });
        let Some((reply, messages)) = self.waiting.remove(&ticket).zip(self.messages.upgrade())
        else {
            return not_run;
        };
        if reply.is_closed() {
            return not_run;
        }
        match reply.send(Claim::Held(OrderClaim::new(ticket, messages))) {
            Ok(()) => None,
            // The request was cancelled before it received the claim. It did not run, so dropping
            // the claim must not record an unknown outcome.
            Err(Claim::Held(claim)) => {
                claim.disarm();
                not_run
            }
            Err(_) => not_run,
        }
    }

    fn reply(&mut self, ticket: u64, claim: Claim) {
        if let Some(reply) = self.waiting.remove(&ticket) {
            // The send fails if the request was cancelled.
            drop(reply.send(claim));
        }
    }
}

/// Returns the shortest write-grouping interval of all ranks with `orders` enabled, or the root
/// setting if there is no such rank, in milliseconds.
fn group_ms(settings: &SettingsTree) -> u64 {
    let policies = settings.rank_policies().map(|(_, _, policy)| policy);
    let with_orders = policies.filter(|policy| policy.orders);
    let shortest = with_orders.map(|policy| policy.order_group_ms).min();
    shortest.unwrap_or_else(|| settings.number(&NodePath::Root, SettingKey::OrderGroupMs))
}
