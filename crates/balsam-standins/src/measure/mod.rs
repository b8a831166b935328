//! The measurement program: each subcommand runs a deployment or a model and prints JSON lines.
//!
//! See [how to run it](../../../../docs/MEASURE.md).

mod cli;
mod deployment;
mod dispatchers;
mod error;
mod fit;
mod flood;
mod generator;
mod load;
mod losses;
mod placement;
mod process;
mod sheet;
mod slopes;

pub use cli::{Command, MeasureOptions, measure};
pub use error::MeasureError;
pub use fit::{Fit, fit_line};
