//! Formatting of log lines.

use super::DECISION_TARGET;
use env_logger::{Builder, Target};
use log::{LevelFilter, Record};
use serde::Serialize;
use serde::de::IgnoredAny;
use snafu::{ResultExt, Snafu};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

/// An error that occurs when the logger cannot be installed.
#[derive(Debug, Snafu)]
#[snafu(display("logger: {source}"))]
pub struct InitError {
    source: log::SetLoggerError,
}

#[derive(Serialize)]
struct Line<'a> {
    time_ms: u64,
    level: &'static str,
    target: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<&'a str>,
}

/// Installs a logger that writes JSON lines to standard error.
///
/// # Errors
///
/// Returns an [`InitError`] if a logger is already installed.
pub fn init(level: LevelFilter) -> Result<(), InitError> {
    let mut builder = builder(level);
    builder.target(Target::Stderr);
    InitError::check(builder.try_init())
}

impl InitError {
    /// Converts the error type of the logging library.
    pub(crate) fn check(result: Result<(), log::SetLoggerError>) -> Result<(), Self> {
        result.context(InitSnafu)
    }
}

/// Creates a builder for a logger of JSON lines; the caller sets the output.
pub(crate) fn builder(level: LevelFilter) -> Builder {
    let mut builder = Builder::new();
    builder
        .filter_level(level)
        .format(|out, record| writeln!(out, "{}", render_line(unix_ms(), record)));
    builder
}

/// Renders a record as one line of JSON, without the trailing newline.
///
/// Decisions are JSON already and become the field `decision`; all other texts become `message`.
pub fn render_line(time_ms: u64, record: &Record<'_>) -> String {
    let text = record.args().to_string();
    let is_decision =
        record.target() == DECISION_TARGET && serde_json::from_str::<IgnoredAny>(&text).is_ok();
    let line = Line {
        time_ms,
        level: record.level().as_str(),
        target: record.target(),
        message: (!is_decision).then_some(&text),
    };
    // Serialization cannot fail, because all fields are numbers and strings.
    let mut line = serde_json::to_string(&line).unwrap_or_default();
    if is_decision && line.pop().is_some() {
        line.push_str(",\"decision\":");
        line.push_str(&text);
        line.push('}');
    }
    line
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
