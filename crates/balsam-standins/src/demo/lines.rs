//! The lines that the demonstration prints.

use super::DemoError;
use super::error::{ExchangeSnafu, PrintSnafu, UnexpectedSnafu};
use super::services::DemoService;
use crate::harness::{Answer, OperatorClient};
use balsam_wire::upstream::headers;
use snafu::{OptionExt, ResultExt};
use std::io::Write;

/// Prints one line.
pub(super) fn print(line: impl AsRef<str>) -> Result<(), DemoError> {
    writeln!(std::io::stdout(), "{}", line.as_ref()).context(PrintSnafu)
}

/// Returns the upstream that an answer names.
pub(super) fn upstream_of<'a>(
    request: &'static str,
    answer: &'a Answer,
) -> Result<&'a str, DemoError> {
    answer.header(headers::UPSTREAM).context(UnexpectedSnafu {
        request,
        expected: "the name of the upstream",
        found: format!("status {}: {}", answer.status, answer.text()),
    })
}

/// Explains which upstream owns a key.
pub(super) async fn explain(
    operator: &OperatorClient,
    service: DemoService,
    key: &str,
) -> Result<String, DemoError> {
    let name = service.name().context(super::error::NameSnafu)?;
    let owner = operator.owner(&name, key).await.context(ExchangeSnafu)?;
    let (unit, epoch) = (owner.unit, owner.epoch);
    let Some(upstream) = owner.upstream else {
        return Ok(format!(
            "unit {unit} of key {key} has no owner at epoch {epoch}"
        ));
    };
    let dispatcher = match owner.dispatcher {
        Some(daemon) => format!("daemon {daemon} dispatches for it"),
        None => "it has no dispatcher".to_owned(),
    };
    Ok(format!(
        "{upstream} owns unit {unit} of key {key} at epoch {epoch}, and {dispatcher}"
    ))
}
