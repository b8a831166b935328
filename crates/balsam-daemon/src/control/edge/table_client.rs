//! The handle through which the request path reaches the platform's table.

use super::TableExchange;
use balsam_decide::orders::{OrderKey, ReadRow, RowWrite, TxResult};
use balsam_types::{Fingerprint, ServiceName};
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

    /// Counts a crashed connection and returns the shared count; `None` if the table does not
    /// answer.
    pub async fn count_crash(&self, service: ServiceName, fingerprint: Fingerprint) -> Option<u32> {
        let (reply, result) = oneshot::channel();
        self.submit(TableExchange::CountCrash {
            service,
            fingerprint,
            reply,
        });
        result.await.ok().flatten()
    }

    /// A request that finds the queue full is dropped, which its requester sees as no answer.
    fn submit(&self, exchange: TableExchange) {
        if self.exchanges.try_send(exchange).is_err() {
            log::debug!("the queue of table requests is full");
        }
    }
}
