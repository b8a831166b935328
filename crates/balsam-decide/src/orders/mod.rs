//! Claims and recorded outcomes of non-idempotent orders.
//!
//! See [the design page, section 8](../../../../docs/design.md#8-outcomes-and-orders).

mod claims;
mod machine;
mod message;
mod order;
mod schedule;

pub use machine::Orders;
pub use message::{
    ClaimRow, OrderInput, OrderKey, OrderOutput, OrderState, ReadRow, RecordedOutcome, RowWrite,
    TxResult,
};
