//! The placer: the one daemon that commits placement changes.
//!
//! Every decision follows from the control state, so a new placer completes what its predecessor
//! began. See [the design page, section 5.2](../../../../docs/design.md#52-membership-and-placer).

mod context;
mod dispatchers;
mod machine;
mod moves;
mod planning;
mod reports;
mod revocations;
mod roster;
mod statuses;
mod summary;

pub use context::PlacerContext;
pub use machine::Placer;
