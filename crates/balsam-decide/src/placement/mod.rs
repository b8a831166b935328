//! The planner: which unit should go to which upstream.
//!
//! See [the design page, section 6](../../../../docs/design.md#6-placement).

mod message;

pub use message::{PlanInput, PlanStep, PlanUpstream};
