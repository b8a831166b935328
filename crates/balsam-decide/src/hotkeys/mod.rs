//! A bounded sketch that finds the heaviest keys of a stream.
//!
//! See [the design page, section 6](../../../../docs/design.md#6-placement).

mod sketch;

pub use sketch::{HeavyHitters, SKETCH_COUNTERS};
