//! The assembly of a daemon from its listeners and tasks, and its orderly end.

mod control;
mod daemon;
mod error;

pub use daemon::{Addresses, Daemon, run};
pub use error::RunError;
