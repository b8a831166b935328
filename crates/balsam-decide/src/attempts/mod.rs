//! Decides what follows each attempt of a request: a response, a retry or the end.
//!
//! See [the platform page](../../../../docs/platform.md#outcomes).

mod tracker;

pub use tracker::{AttemptTracker, Ending, Step};
