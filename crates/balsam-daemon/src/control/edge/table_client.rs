//! The handle with which the request path sends requests for the platform's table.

use super::TableExchange;
use crate::control::commit::SharedCrashes;
use balsam_decide::orders::{OrderKey, ReadRow, RowWrite, TxResult};
use tokio::sync::{mpsc, oneshot};

/// A handle that sends requests to the platform task; it is cheap to clone.
#[derive(Clone, Debug)]
pub struct TableClient {
    exchanges: mpsc::Sender<TableExchange>,
}

impl TableClient {
    /// Creates a handle that sends to `exchanges`.
    pub const fn new(exchanges: mpsc::Sender<TableExchange>) -> Self {
        Self { exchanges }
    }

    /// Writes order rows in one conditional transaction.
    pub async fn write_orders(&self, writes: Vec<RowWrite>) -> TxResult {
        let (reply, result) = oneshot::channel();
        self.submit(TableExchange::WriteOrders { writes, reply });
        result.await.unwrap_or(TxResult::Unsettled)
    }

    /// Reads order rows; returns `None` if they cannot be read.
    pub async fn read_orders(&self, keys: Vec<OrderKey>) -> Option<Vec<ReadRow>> {
        let (reply, result) = oneshot::channel();
        self.submit(TableExchange::ReadOrders { keys, reply });
        result.await.ok().flatten()
    }

    /// Reads the shared row of crash counts; returns `None` if it cannot be read.
    pub async fn read_crashes(&self) -> Option<SharedCrashes> {
        let (reply, result) = oneshot::channel();
        self.submit(TableExchange::ReadCrashes { reply });
        result.await.ok().flatten()
    }

    /// Writes the shared row of crash counts if its version has not changed.
    ///
    /// Returns whether the row was written, or `None` if that is unknown.
    pub async fn write_crashes(&self, shared: SharedCrashes) -> Option<bool> {
        let (reply, result) = oneshot::channel();
        self.submit(TableExchange::WriteCrashes { shared, reply });
        result.await.ok().flatten()
    }

    /// Sends `exchange`, or drops it if the queue is full, which the requester sees as a missing
    /// reply.
    fn submit(&self, exchange: TableExchange) {
        if self.exchanges.try_send(exchange).is_err() {
            log::debug!(
                "dropped a table request: the queue of the platform task is full or closed"
            );
        }
    }
}
