//! The decision whether a request is retried.
//!
//! See [the design page, sections 7 and 8](../../../../docs/design.md#8-outcomes-and-orders).

mod budget;
mod rule;
mod verdict;

pub use budget::RetryBudget;
pub use verdict::{Attempt, GiveUpReason, Retry, RetryVerdict};
