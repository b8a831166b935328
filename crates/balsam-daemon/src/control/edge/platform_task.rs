//! The task that owns the client of the platform.

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

/// The largest number of concurrent exchanges for the control state.
const MAX_CONTROL_EXCHANGES: usize = 8;

/// The largest number of concurrent exchanges for orders and crash counts.
///
/// It is a separate limit, so that these exchanges do not delay those for the control state.
const MAX_TABLE_EXCHANGES: usize = 8;

/// The time limit of a table read.
///
/// A read that takes longer can no longer extend the freshness lease, which runs from the start of
/// the read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// The time limit of the first read, which loads a snapshot and the log rows after it.
const FIRST_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// The time limit of a read of the instance list.
const INSTANCES_TIMEOUT: Duration = Duration::from_secs(2);

/// The time limit for writing a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(30);

/// The time limit of an exchange for order rows or crash counts.
const TABLE_TIMEOUT: Duration = Duration::from_secs(1);

/// A request from the control task to the platform.
#[derive(Debug)]
pub enum ControlExchange {
    /// Reads the log entries after an epoch.
    ReadTable {
        /// The epoch that the node has adopted.
        after: Epoch,
    },
    /// Reads the instance list.
    ReadInstances,
    /// Commits a change to the control state.
    Commit {
        /// The log entry of the change.
        entry: LogEntry,
        /// When to stop trying and report the commit as unsettled.
        give_up_at: TimeMs,
    },
    /// Writes a snapshot of the control state.
    WriteSnapshot(Arc<ControlState>),
}

/// A request from the request path to the platform's table.
#[derive(Debug)]
pub enum TableExchange {
    /// Writes order rows.
    WriteOrders {
        /// The rows, with the versions that they must replace.
        writes: Vec<RowWrite>,
        /// Receives the result.
        reply: oneshot::Sender<TxResult>,
    },
    /// Reads order rows.
    ReadOrders {
        /// The keys of the orders.
        keys: Vec<OrderKey>,
        /// Receives the rows, or `None` if they cannot be read.
        reply: oneshot::Sender<Option<Vec<ReadRow>>>,
    },
    /// Reads the row of crash counts that all daemons share.
    ReadCrashes {
        /// Receives the row, or `None` if it cannot be read.
        reply: oneshot::Sender<Option<SharedCrashes>>,
    },
    /// Writes the shared row of crash counts if its version has not changed.
    WriteCrashes {
        /// The version that was read, and the counts to write.
        shared: SharedCrashes,
        /// Receives whether the row was written, or `None` if that is unknown.
        reply: oneshot::Sender<Option<bool>>,
    },
}

/// Owns the client of the platform and runs a limited number of exchanges concurrently.
#[derive(Debug)]
pub struct PlatformTask<P, C> {
    platform: P,
    clock: C,
    control: mpsc::Receiver<ControlExchange>,
    table: mpsc::Receiver<TableExchange>,
    inputs: mpsc::Sender<ControlInput>,
}

impl<P: Platform, C: Clock + Clone> PlatformTask<P, C> {
    /// Creates the task, which sends the results of control exchanges to `inputs`.
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

    /// Runs until all request senders are dropped and the running exchanges have ended.
    pub async fn run(mut self) {
        let mut control_running = FuturesUnordered::new();
        let mut table_running = FuturesUnordered::new();
        let mut first_read_running = false;
        loop {
            tokio::select! {
                Some(exchange) = self.control.recv(), if control_running.len() < MAX_CONTROL_EXCHANGES => {
                    // The first read can outlast the node's read interval, so that the node requests it
                    // again while it runs. Such repeats are dropped.
                    if is_first_read(&exchange) && std::mem::replace(&mut first_read_running, true) {
                        continue;
                    }
                    let (platform, clock) = (self.platform.clone(), self.clock.clone());
                    control_running.push(run_control_exchange(platform, clock, exchange));
                }
                Some(exchange) = self.table.recv(), if table_running.len() < MAX_TABLE_EXCHANGES => {
                    table_running.push(run_table_exchange(self.platform.clone(), exchange));
                }
                Some(completed) = control_running.next() => {
                    first_read_running &= !completed.was_first_read;
                    if let Some(input) = completed.input {
                        // Sending fails only if the control task has ended, as it does when the daemon
                        // exits.
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

/// The result of a control exchange.
struct CompletedExchange {
    was_first_read: bool,
    input: Option<NodeInput>,
}

async fn run_control_exchange<P: Platform, C: Clock>(
    platform: P,
    clock: C,
    exchange: ControlExchange,
) -> CompletedExchange {
    let was_first_read = is_first_read(&exchange);
    let input = match exchange {
        ControlExchange::ReadTable { after } => {
            let time_limit = if was_first_read {
                FIRST_READ_TIMEOUT
            } else {
                READ_TIMEOUT
            };
            let started_at = clock.now();
            let result = read_table(&platform, after, time_limit).await;
            Some(NodeInput::TableRead { started_at, result })
        }
        ControlExchange::ReadInstances => match platform.instances(INSTANCES_TIMEOUT).await {
            Ok(instances) => Some(NodeInput::Instances(Arc::new(instances))),
            Err(error) => {
                log::debug!("cannot read the instance list: {error}");
                None
            }
        },
        ControlExchange::Commit { entry, give_up_at } => {
            let result = commit_change(&platform, &clock, &entry, give_up_at).await;
            let attempt = entry.attempt;
            Some(NodeInput::CommitDone { attempt, result })
        }
        ControlExchange::WriteSnapshot(state) => {
            if let Err(error) = write_snapshot(&platform, &state, SNAPSHOT_TIMEOUT).await {
                log::warn!(
                    "cannot write the snapshot of epoch {}: {error}",
                    state.epoch
                );
            }
            None
        }
    };
    CompletedExchange {
        was_first_read,
        input,
    }
}

async fn run_table_exchange<P: Platform>(platform: P, exchange: TableExchange) {
    // Sending fails if the requester has stopped waiting and dropped its receiver.
    match exchange {
        TableExchange::WriteOrders { writes, reply } => {
            let _ = reply.send(write_orders(&platform, writes, TABLE_TIMEOUT).await);
        }
        TableExchange::ReadOrders { keys, reply } => {
            let _ = reply.send(read_orders(&platform, keys, TABLE_TIMEOUT).await);
        }
        TableExchange::ReadCrashes { reply } => {
            let _ = reply.send(read_crashes(&platform, TABLE_TIMEOUT).await);
        }
        TableExchange::WriteCrashes { shared, reply } => {
            let _ = reply.send(write_crashes(&platform, shared, TABLE_TIMEOUT).await);
        }
    }
}
