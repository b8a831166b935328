//! What follows from the end of one attempt of a request.
//!
//! See [the platform page](../../../../docs/platform.md#outcomes).

mod ledger;

pub use ledger::{AttemptTracker, Ending, Step};
