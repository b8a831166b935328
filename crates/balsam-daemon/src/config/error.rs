//! Errors found while loading and validating the settings file.

use snafu::Snafu;
use std::fmt;
use std::path::PathBuf;

/// A validation error for one field of the settings file.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum FieldFault {
    /// A required field is missing.
    #[snafu(display("{field}: missing (accepted: {accepted})"))]
    Missing {
        /// The name of the field, prefixed with the object that holds it.
        field: String,
        /// A description of the accepted values.
        accepted: String,
    },
    /// The object has no field with this name.
    #[snafu(display("{field}: unknown field with value {value} (accepted: {accepted})"))]
    Unknown {
        /// The name of the field, prefixed with the object that holds it.
        field: String,
        /// The value in JSON, or `(hidden)` if it may be a credential.
        value: String,
        /// The names of the fields that the object accepts, separated by commas.
        accepted: String,
    },
    /// The value has the wrong type, is malformed or is out of range.
    #[snafu(display("{field}: value {value} is not accepted (accepted: {accepted})"))]
    Refused {
        /// The name of the field, prefixed with the object that holds it.
        field: String,
        /// The value in JSON, `(hidden)` for a credential, or `(absent)`.
        value: String,
        /// A description of the accepted values.
        accepted: String,
    },
}

impl FieldFault {
    /// Returns the name of the invalid field, prefixed with the object that holds it.
    pub fn field(&self) -> &str {
        match self {
            Self::Missing { field, .. }
            | Self::Unknown { field, .. }
            | Self::Refused { field, .. } => field,
        }
    }
}

/// All validation errors of a settings file, so that an operator can correct them in one pass.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldFaults(pub Vec<FieldFault>);

impl fmt::Display for FieldFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.0 {
            write!(f, "\n  {fault}")?;
        }
        Ok(())
    }
}

/// Errors that prevent a settings file from being loaded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ConfigError {
    /// The file cannot be read or is not UTF-8.
    #[snafu(display("settings file {}: {source}", path.display()))]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// The file is not valid JSON.
    #[snafu(display("the settings file is not valid JSON: {source}"))]
    NotJson {
        /// The parser's error, which gives the line and column.
        source: serde_json::Error,
    },
    /// The file is valid JSON, but its top level is not an object.
    #[snafu(display("the settings file holds {found} (accepted: a JSON object)"))]
    NotAnObject {
        /// The JSON type of the top-level value.
        found: &'static str,
    },
    /// One or more fields are missing, unknown or invalid.
    #[snafu(display("the settings file has {} faults:{faults}", faults.0.len()))]
    Faults {
        /// Every validation error in the file.
        faults: FieldFaults,
    },
}
