//! The task that owns the connection to the platform.

use super::{Clock, Platform};
use crate::control::commit::{
    SharedCrashes, commit_change, read_crashes, read_orders, write_crashes, write_orders,
    write_snapshot,
};
use crate::control::decide::ControlInput;
use crate::control::observe::read_table;
use balsam_decide::control::ControlState;
use balsam_decide::node::NodeInput;
use balsam_decide::orders::{OrderKey, ReadRow, RowWrite, TxResult};
use balsam_types::control::LogEntry;
use balsam_types::{Epoch, TimeMs};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Exchanges for the control state at once.
const CONTROL_EXCHANGES: usize = 8;

/// Exchanges for orders at once; a bound of their own keeps them from delaying control.
const ORDER_EXCHANGES: usize = 8;

/// The wait for a table read; a later answer cannot prolong a freshness right any more.
const READ_WAIT: Duration = Duration::from_secs(1);

/// The wait for a first read, which loads a snapshot and the log rows after it.
const FIRST_READ_WAIT: Duration = Duration::from_secs(10);

/// The wait for the instance list.
const INSTANCES_WAIT: Duration = Duration::from_secs(2);

/// The wait for writing a snapshot.
const SNAPSHOT_WAIT: Duration = Duration::from_secs(30);

/// The wait for rows of orders and crash counts.
const ORDER_WAIT: Duration = Duration::from_secs(1);

/// A request of the control task to the platform.
#[derive(Debug)]
pub enum ControlExchange {
    /// Reads the changes after an epoch.
    ReadTable {
        /// The epoch.
        after: Epoch,
    },
    /// Reads the instance list.
    ReadInstances,
    /// Commits a change.
    Commit {
        /// The entry.
        entry: LogEntry,
        /// When to stop trying.
        give_up_at: TimeMs,
    },
    /// Writes a snapshot.
    WriteSnapshot(Arc<ControlState>),
}

/// A request of the request path to the platform's table.
#[derive(Debug)]
pub enum TableExchange {
    /// Writes order rows.
    WriteOrders {
        /// The rows.
        writes: Vec<RowWrite>,
        /// Where the result goes.
        reply: oneshot::Sender<TxResult>,
    },
    /// Reads order rows.
    ReadOrders {
        /// The orders.
        keys: Vec<OrderKey>,
        /// Where the rows go; `None` if the table did not answer.
        reply: oneshot::Sender<Option<Vec<ReadRow>>>,
    },
    /// Reads the shared row of crash counts.
    ReadCrashes {
        /// Where the row goes; `None` if the table did not answer.
        reply: oneshot::Sender<Option<SharedCrashes>>,
    },
    /// Writes the shared row of crash counts if its version is unchanged.
    WriteCrashes {
        /// The version that was read, and the counts to write.
        shared: SharedCrashes,
        /// Where it goes whether the row was written; `None` if the table did not answer.
        reply: oneshot::Sender<Option<bool>>,
    },
}

/// Owns the client of the platform and runs a bounded number of exchanges at once.
#[derive(Debug)]
pub struct PlatformTask<P, C> {
    platform: P,
    clock: C,
    control: mpsc::Receiver<ControlExchange>,
    table: mpsc::Receiver<TableExchange>,
    inputs: mpsc::Sender<ControlInput>,
}

impl<P: Platform, C: Clock + Clone> PlatformTask<P, C> {
    /// Makes the task; results of control exchanges go to `inputs`.
    pub const fn new(
        platform: P,
        clock: C,
        control: mpsc::Receiver<ControlExchange>,
        table: mpsc::Receiver<TableExchange>,
        inputs: mpsc::Sender<ControlInput>,
    ) -> Self {
        Self {
            platform,
            clock,
            control,
            table,
            inputs,
        }
    }

    /// Runs until all senders of requests are gone.
    pub async fn run(mut self) {
        let mut control_running = FuturesUnordered::new();
        let mut table_running = FuturesUnordered::new();
        let mut starting = false;
        loop {
            tokio::select! {
                Some(exchange) = self.control.recv(), if control_running.len() < CONTROL_EXCHANGES => {
                    // The node asks again before a long first read ends; one read is enough.
                    if is_first_read(&exchange) && std::mem::replace(&mut starting, true) {
                        continue;
                    }
                    let (platform, clock) = (self.platform.clone(), self.clock.clone());
                    control_running.push(run_control(platform, clock, exchange));
                }
                Some(exchange) = self.table.recv(), if table_running.len() < ORDER_EXCHANGES => {
                    table_running.push(run_table(self.platform.clone(), exchange));
                }
                Some(finished) = control_running.next() => {
                    starting &= !finished.was_first_read;
                    if let Some(input) = finished.input {
                        // The control task is gone only while the daemon exits.
                        let _ = self.inputs.send(ControlInput::Node(input)).await;
                    }
                }
                Some(()) = table_running.next() => {}
                else => return,
            }
        }
    }
}

const fn is_first_read(exchange: &ControlExchange) -> bool {
    matches!(exchange, ControlExchange::ReadTable { after: Epoch(0) })
}

/// The end of a control exchange.
struct Finished {
    was_first_read: bool,
    input: Option<NodeInput>,
}

async fn run_control<P: Platform, C: Clock>(
    platform: P,
    clock: C,
    exchange: ControlExchange,
) -> Finished {
    let was_first_read = is_first_read(&exchange);
    let input = match exchange {
        ControlExchange::ReadTable { after } => {
            let wait = if was_first_read {
                FIRST_READ_WAIT
            } else {
                READ_WAIT
            };
            let started_at = clock.now();
            let result = read_table(&platform, after, wait).await;
            Some(NodeInput::TableRead { started_at, result })
        }
        ControlExchange::ReadInstances => match platform.instances(INSTANCES_WAIT).await {
            Ok(instances) => Some(NodeInput::Instances(Arc::new(instances))),
            Err(error) => {
                log::debug!("instance list: {error}");
                None
            }
        },
        ControlExchange::Commit { entry, give_up_at } => {
            let result = commit_change(&platform, &clock, &entry, give_up_at).await;
            let attempt = entry.attempt;
            Some(NodeInput::CommitDone { attempt, result })
        }
        ControlExchange::WriteSnapshot(state) => {
            if let Err(error) = write_snapshot(&platform, &state, SNAPSHOT_WAIT).await {
                log::warn!("snapshot of epoch {}: {error}", state.epoch);
            }
            None
        }
    };
    Finished {
        was_first_read,
        input,
    }
}

async fn run_table<P: Platform>(platform: P, exchange: TableExchange) {
    // A requester that has stopped waiting has dropped its receiver.
    match exchange {
        TableExchange::WriteOrders { writes, reply } => {
            let _ = reply.send(write_orders(&platform, writes, ORDER_WAIT).await);
        }
        TableExchange::ReadOrders { keys, reply } => {
            let _ = reply.send(read_orders(&platform, keys, ORDER_WAIT).await);
        }
        TableExchange::ReadCrashes { reply } => {
            let _ = reply.send(read_crashes(&platform, ORDER_WAIT).await);
        }
        TableExchange::WriteCrashes { shared, reply } => {
            let _ = reply.send(write_crashes(&platform, shared, ORDER_WAIT).await);
        }
    }
}
