//! The handle through which the request path reaches the platform's table.

use super::TableExchange;
use crate::control::commit::SharedCrashes;
use balsam_decide::orders::{OrderKey, ReadRow, RowWrite, TxResult};
use tokio::sync::{mpsc, oneshot};

/// A cheap handle that sends requests to the platform task.
#[derive(Clone, Debug)]
pub struct TableClient {
    exchanges: mpsc::Sender<TableExchange>,
}

impl TableClient {
    /// Makes a handle that sends to `exchanges`.
    pub const fn new(exchanges: mpsc::Sender<TableExchange>) -> Self {
        Self { exchanges }
    }

    /// Writes order rows in one conditional transaction.
    pub async fn write_orders(&self, writes: Vec<RowWrite>) -> TxResult {
        let (reply, result) = oneshot::channel();
        self.submit(TableExchange::WriteOrders { writes, reply });
        result.await.unwrap_or(TxResult::Unsettled)
    }

    /// Reads order rows; `None` if the table does not answer.
    pub async fn read_orders(&self, keys: Vec<OrderKey>) -> Option<Vec<ReadRow>> {
        let (reply, result) = oneshot::channel();
        self.submit(TableExchange::ReadOrders { keys, reply });
        result.await.ok().flatten()
    }

    /// Reads the shared row of crash counts; `None` if the table does not answer.
    pub async fn read_crashes(&self) -> Option<SharedCrashes> {
        let (reply, result) = oneshot::channel();
        self.submit(TableExchange::ReadCrashes { reply });
        result.await.ok().flatten()
    }

    /// Writes the shared row of crash counts if its version is unchanged, and returns whether it
    /// was; `None` if the table does not answer.
    pub async fn write_crashes(&self, shared: SharedCrashes) -> Option<bool> {
        let (reply, result) = oneshot::channel();
        self.submit(TableExchange::WriteCrashes { shared, reply });
        result.await.ok().flatten()
    }

    /// A request that finds the queue full is dropped, which its requester sees as no answer.
    fn submit(&self, exchange: TableExchange) {
        if self.exchanges.try_send(exchange).is_err() {
            log::debug!("the queue of table requests is full");
        }
    }
}
