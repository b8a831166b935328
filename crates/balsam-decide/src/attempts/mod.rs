//! What follows from the end of one attempt of a request.
//!
//! See [the platform page](../../../../docs/platform.md#outcomes).

mod tracker;

pub use tracker::{AttemptTracker, Ending, Step};
