//! Orders to upstreams: commands by which the leader grants or releases ranges of keys, as messages
//! to the adapter.

use balsam_decide::keys::{Order, OrderResult};
use std::sync::Arc;
use tokio::sync::oneshot;

/// An order together with the channel for its result.
#[derive(Debug)]
pub struct OrderRequest {
    /// The order.
    ///
    /// The adapter must not send it after [`Order::send_before`]. If no response arrives within
    /// [`Order::timeout_ms`], it must reset the connection so that the order cannot arrive later.
    pub order: Order,
    /// The path of health checks of the order's service, if the configuration names one. By it the
    /// adapter learns which upstream has refused an order.
    pub health_check: Option<Arc<str>>,
    /// Receives the result of the order.
    pub reply: oneshot::Sender<OrderResult>,
}
