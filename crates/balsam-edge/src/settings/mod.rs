//! The settings file.
//!
//! See [the operations page](../../../../docs/OPERATIONS.md#settings).

mod error;
mod file;

pub use error::SettingsError;
pub use file::{Bounds, Listen, Machine, Settings};
