//! Request path, control tasks and operator API of the balsamswitch daemon.
//!
//! See [the design page](../../../docs/design.md).

pub mod config;
pub mod control;
pub mod metrics;
pub mod operator;
pub mod peer;
pub mod request;

mod assembly;

pub use assembly::{Addresses, Daemon, RunError, run};
pub use balsam_log as logging;
