//! Orders to upstreams: commands by which the leader grants or releases ranges of keys, as messages
//! to the adapter.

use balsam_decide::keys::{Order, OrderResult};
use tokio::sync::oneshot;

/// An order together with the channel for its result.
#[derive(Debug)]
pub struct OrderRequest {
    /// The order.
    ///
    /// The adapter must not send it after [`Order::send_before`]. If no response arrives within
    /// [`Order::timeout_ms`], it must reset the connection so that the order cannot arrive later.
    pub order: Order,
    /// Receives the result of the order.
    pub reply: oneshot::Sender<OrderResult>,
}
