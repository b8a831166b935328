//! `load`: sends the load of a plan.

use super::MeasureError;
use super::error::FileSnafu;
use crate::load::{LoadPlan, run_load};
use clap::Args;
use snafu::ResultExt;
use std::io::Write;
use std::path::PathBuf;

/// Options of `load`.
#[derive(Debug, Args)]
pub struct LoadOptions {
    /// The plan in JSON.
    #[arg(long, value_name = "FILE")]
    plan: PathBuf,
}

/// Sends the load and prints the report as one JSON line.
pub(super) async fn run(options: &LoadOptions) -> Result<(), MeasureError> {
    let path = options.plan.to_string_lossy();
    let text = std::fs::read_to_string(&options.plan).context(FileSnafu { path })?;
    let result = run_load(LoadPlan::from_json(text)?).await?;
    let line = serde_json::to_string(&result.report)?;
    writeln!(std::io::stdout(), "{line}").context(FileSnafu {
        path: "standard output",
    })
}
