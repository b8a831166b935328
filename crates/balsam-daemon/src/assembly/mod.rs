//! Starts a daemon's listeners and tasks, connects them, and shuts them down in order.

mod control;
mod daemon;
mod error;

pub use daemon::{Addresses, Daemon, run};
pub use error::RunError;
