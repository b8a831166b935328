//! The static settings file of a daemon.
//!
//! The file is read once at start-up. Options that operators can change at run time are stored in
//! the settings tree instead. See
//! [the operators' page](../../../../docs/OPERATIONS.md#balsamswitchd).

mod error;
mod fields;
mod file;
mod limits;

pub use balsam_types::Credential;
pub use error::{ConfigError, FieldFault, FieldFaults};
pub use file::Config;
pub use limits::Limits;
