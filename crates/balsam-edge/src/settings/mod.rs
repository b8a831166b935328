//! The settings file.
//!
//! See [the operations page](../../../../docs/OPERATIONS.md#settings).

mod error;
mod file;
mod watch;

pub use error::SettingsError;
pub use file::{Bounds, Listen, Machine, Settings};
pub use watch::SettingsWatcher;
