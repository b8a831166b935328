//! The task that claims orders and records their outcomes.
//!
//! The claim makes sure that an order runs at most once, and the recorded outcome answers later
//! arrivals of the same order. See
//! [the design page, section 8](../../../../../docs/design.md#8-outcomes-and-orders).

mod handle;
mod run;
mod task;

pub(crate) use handle::{Claim, OrderClaim, OrdersHandle};
pub(crate) use run::run_order;
pub(crate) use task::start_orders;
