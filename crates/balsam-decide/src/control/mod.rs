//! The control state, which results from applying the entries of the change log in order.
//!
//! See [the design page, section 4](../../../../docs/design.md#4-control-state).

mod apply;
mod error;
mod service;
mod state;

pub use error::ApplyError;
pub use service::ServicePlacement;
pub use state::{ControlState, Roster};
