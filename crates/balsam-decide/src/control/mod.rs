//! The control state: the fold of the change log.
//!
//! See [the design page, section 4](../../../../docs/design.md#4-control-state).

mod apply;
mod error;
mod service;
mod state;

pub use error::ApplyError;
pub use service::ServicePlacement;
pub use state::{ControlState, Roster};
