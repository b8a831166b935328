//! Starts a daemon's listeners and tasks, connects them, and shuts them down in an order that lets
//! requests in progress finish.

mod control;
mod daemon;
mod error;

pub use daemon::{Addresses, Daemon, run};
pub use error::RunError;
