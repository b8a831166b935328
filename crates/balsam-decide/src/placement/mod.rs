//! The placement planner: decides which upstream owns which unit.
//!
//! A unit is a slice of the key space, or one hot key.
//!
//! See [the design page, section 6](../../../../docs/design.md#6-placement).

mod balance;
mod hot;
mod loads;
mod message;
mod owners;
mod plan;

pub use message::{PlanInput, PlanStep, PlanUpstream};
pub use plan::plan;
