//! What is wrong with a settings file.

use snafu::Snafu;
use std::io;
use std::path::PathBuf;

/// Why a settings file cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("settings file {}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file is no settings in JSON.
    #[snafu(display("settings file {}: {source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What is wrong, with its field or place.
        source: serde_json::Error,
    },
    /// A value is out of range.
    #[snafu(display("settings: {field} is {value} (accepted: {accepted})"))]
    OutOfRange {
        /// The field.
        field: &'static str,
        /// The refused value.
        value: String,
        /// The accepted range.
        accepted: &'static str,
    },
}
