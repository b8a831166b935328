//! Faults of a settings file.

use snafu::Snafu;
use std::fmt;
use std::path::PathBuf;

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum FieldFault {
    /// A required field is absent.
    #[snafu(display("{field}: missing (accepted: {accepted})"))]
    Missing {
        /// The field.
        field: String,
        /// What the field accepts.
        accepted: String,
    },
    /// The field is not known.
    #[snafu(display("{field}: unknown field with value {value} (accepted: {accepted})"))]
    Unknown {
        /// The field.
        field: String,
        /// Its value.
        value: String,
        /// The known fields.
        accepted: String,
    },
    /// The value is not accepted.
    #[snafu(display("{field}: value {value} is not accepted (accepted: {accepted})"))]
    Refused {
        /// The field.
        field: String,
        /// The refused value.
        value: String,
        /// What the field accepts.
        accepted: String,
    },
}

impl FieldFault {
    /// Returns the name of the field at fault.
    pub fn field(&self) -> &str {
        match self {
            Self::Missing { field, .. }
            | Self::Unknown { field, .. }
            | Self::Refused { field, .. } => field,
        }
    }
}

/// All faults of a settings file, so that one correction round fixes them all.
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

/// Why a settings file cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ConfigError {
    /// The file cannot be read.
    #[snafu(display("settings file {}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[snafu(display("the settings file is not valid JSON: {source}"))]
    NotJson {
        /// Where and why.
        source: serde_json::Error,
    },
    /// The file is JSON, but not an object.
    #[snafu(display("the settings file holds {found} (accepted: a JSON object)"))]
    NotAnObject {
        /// The type that was found.
        found: &'static str,
    },
    /// Fields are missing, unknown or out of range.
    #[snafu(display("the settings file has {} faults:{faults}", faults.0.len()))]
    Faults {
        /// Every fault.
        faults: FieldFaults,
    },
}
