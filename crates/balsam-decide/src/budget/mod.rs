//! Retry budget, shared by all daemons.
//!
//! See [the platform page](../../../../docs/platform.md#retries).

mod window;

pub use window::{Budget, BudgetTerms};
