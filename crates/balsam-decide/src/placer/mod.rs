//! The placer: the leader among the daemons, which alone commits placement changes.
//!
//! Every decision is derived from the control state, so a new placer completes the changes that its
//! predecessor started.
//! See [the design page, section 5.2](../../../../docs/design.md#52-membership-and-placer).

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
