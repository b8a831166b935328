//! How many requests may be sent once more, over all daemons.
//!
//! See [the platform page](../../../../docs/platform.md#retries).

mod window;

pub use window::{Budget, BudgetTerms};
