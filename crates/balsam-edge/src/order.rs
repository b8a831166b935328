//! Orders to upstreams on ranges of keys, as the adapter carries them.

use balsam_decide::keys::{Order, OrderResult};
use tokio::sync::oneshot;

/// An order and where its end is told.
#[derive(Debug)]
pub struct OrderRequest {
    /// The order.
    ///
    /// It must not leave after [`Order::send_before`], and if no answer comes within
    /// [`Order::timeout_ms`], its connection must be reset so that it cannot arrive later.
    pub order: Order,
    /// Where the end of the order goes.
    pub reply: oneshot::Sender<OrderResult>,
}
