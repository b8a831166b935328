//! The task that claims orders and records their outcomes.
//!
//! See [the design page, section 8](../../../../../docs/design.md#8-outcomes-and-orders).

mod handle;
mod run;
mod task;

pub(crate) use handle::{Claim, OrderClaim, OrderDesk};
pub(crate) use run::run_order;
pub(crate) use task::start_orders;
