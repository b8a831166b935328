//! The operator client.
//!
//! Each command is a file of [`commands`] and returns a [`Report`]; printing and exit codes are the
//! same for all. See [the operators' page](../../../docs/OPERATIONS.md#balsamswitchd).

mod cli;
mod client;
mod credential;
mod error;
mod report;
mod run;

pub mod commands;

pub use cli::{Cli, Command};
pub use client::Client;
pub use error::CtlError;
pub use report::{Report, Table};
pub use run::run;
