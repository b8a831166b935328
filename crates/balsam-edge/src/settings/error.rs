//! Errors of the settings file.

use snafu::Snafu;
use std::io;
use std::path::PathBuf;

/// Reason that a settings file cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("settings file {}: {source}", path.display()))]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is not valid JSON, or not an object of settings.
    #[snafu(display("settings file {}: {source}", path.display()))]
    Malformed {
        /// The path of the file.
        path: PathBuf,
        /// The cause, with the field or the position in the file.
        source: serde_json::Error,
    },
    /// A value is out of range.
    #[snafu(display("settings: {field} is {value} (accepted: {accepted})"))]
    OutOfRange {
        /// The path of the field.
        field: &'static str,
        /// The rejected value.
        value: String,
        /// The accepted range.
        accepted: &'static str,
    },
}
