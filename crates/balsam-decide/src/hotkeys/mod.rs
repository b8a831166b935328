//! Detection of hot keys in a stream of requests, in bounded memory.
//!
//! See [the design page, section 6](../../../../docs/design.md#6-placement).

mod sketch;

pub use sketch::{HeavyHitters, SKETCH_COUNTERS};
