//! Sends load from a process of its own.
//!
//! The measuring process carries the bytes of all links; a generator in the same thread would be
//! late and would delay them.

use super::MeasureError;
use super::error::FileSnafu;
use crate::harness::{ChildBuilder, Program};
use crate::load::{LoadPlan, LoadReport};
use snafu::ResultExt;
use std::path::Path;
use std::time::Duration;

/// The time beyond the last deadline until the generator must have reported.
const REPORT_TIME: Duration = Duration::from_secs(30);

/// Runs `plan` in a child process and returns its report.
pub(super) async fn generate(plan: &LoadPlan, folder: &Path) -> Result<LoadReport, MeasureError> {
    let file = folder.join(format!("load-{}.json", plan.name));
    let path = file.to_string_lossy().into_owned();
    std::fs::write(&file, serde_json::to_vec(plan)?).context(FileSnafu { path: &path })?;
    let last_ms = plan
        .streams
        .iter()
        .map(|stream| stream.until_ms + stream.deadline_ms)
        .max();
    let deadline = Duration::from_millis(last_ms.unwrap_or(0)) + REPORT_TIME;
    let builder = ChildBuilder::new(Program::Measure).with_arguments(["load", "--plan", &path]);
    let child = builder.start(deadline).await?;
    Ok(serde_json::from_value(child.announced().clone())?)
}
