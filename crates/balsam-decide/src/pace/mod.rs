//! The pace at which requests are sent to an upstream that has started or recovered.
//!
//! See [the design note](../../../../docs/design/pace.md).

mod machine;
mod message;
mod spacing;

pub use machine::Pace;
pub use message::{PaceOutcome, PaceTerms, PaceVerdict};
