//! Error responses.

use balsam_decide::node::CommandFailure;
use balsam_decide::settings::SettingsError;
use balsam_types::settings::ValueError;
use serde::{Deserialize, Serialize};

/// The error code of a rejected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorCode {
    /// The bearer credential is missing or wrong.
    BadCredential,
    /// The request or one of its fields is invalid.
    BadRequest,
    /// The path or the resource that it names does not exist.
    NotFound,
    /// The node was changed since the version that the edit is based on.
    Conflict,
    /// The platform's table is unavailable, and nothing was changed.
    TableUnavailable,
    /// The platform's table did not confirm the change, which may or may not be committed.
    Unsettled,
    /// The daemon is shutting down.
    Stopping,
    /// Too many commands are queued.
    Busy,
}

impl ErrorCode {
    /// Returns the HTTP status code.
    pub const fn status(self) -> u16 {
        match self {
            Self::BadCredential => 401,
            Self::BadRequest => 400,
            Self::NotFound => 404,
            Self::Conflict => 409,
            Self::TableUnavailable | Self::Unsettled | Self::Stopping | Self::Busy => 503,
        }
    }
}

/// A field with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldBody {
    /// The name of the field.
    pub field: String,
    /// The rejected value.
    pub value: String,
    /// A description of the accepted values.
    pub accepted: String,
}

/// The response to a rejected request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The error code.
    pub code: ErrorCode,
    /// A description of the error.
    pub message: String,
    /// The invalid field, if any. Its members are flattened into the response object.
    #[serde(flatten, default, skip_serializing_if = "Option::is_none")]
    pub at: Option<Box<FieldBody>>,
    /// What the operator can do about the error.
    pub help: String,
}

impl ErrorResponse {
    /// Creates an error response that concerns no particular field.
    pub fn new(code: ErrorCode, message: impl Into<String>, help: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            at: None,
            help: help.into(),
        }
    }

    /// Creates a `bad-request` response for an invalid field value.
    pub fn bad_field(
        field: impl Into<String>,
        value: impl Into<String>,
        accepted: impl Into<String>,
    ) -> Self {
        let (field, value, accepted) = (field.into(), value.into(), accepted.into());
        let message = format!("{field}: value {value} is not accepted (accepted: {accepted})");
        Self::new(
            ErrorCode::BadRequest,
            message,
            "correct the field and send the request again",
        )
        .with_field(field, value, accepted)
    }

    /// Adds the invalid field, its value and the accepted values.
    #[must_use]
    pub fn with_field(
        mut self,
        field: impl Into<String>,
        value: impl Into<String>,
        accepted: impl Into<String>,
    ) -> Self {
        self.at = Some(Box::new(FieldBody {
            field: field.into(),
            value: value.into(),
            accepted: accepted.into(),
        }));
        self
    }
}

impl From<CommandFailure> for ErrorResponse {
    fn from(failure: CommandFailure) -> Self {
        let message = failure.to_string();
        match failure {
            CommandFailure::Settings { source } => source.into(),
            CommandFailure::NotFound { .. } => {
                let help = "list the known names and check the spelling";
                Self::new(ErrorCode::NotFound, message, help)
            }
            CommandFailure::TableUnavailable => {
                let help = "nothing was changed; repeat the command when the table answers";
                Self::new(ErrorCode::TableUnavailable, message, help)
            }
            CommandFailure::Unsettled => {
                let help = "read the state back before repeating the command";
                Self::new(ErrorCode::Unsettled, message, help)
            }
            CommandFailure::Stopping => {
                let help = "send the command to another daemon";
                Self::new(ErrorCode::Stopping, message, help)
            }
            CommandFailure::Busy => {
                let help = "repeat the command later or send it to another daemon";
                Self::new(ErrorCode::Busy, message, help)
            }
        }
    }
}

impl From<SettingsError> for ErrorResponse {
    fn from(error: SettingsError) -> Self {
        let base = Self::new(settings_code(&error), error.to_string(), error.help());
        match &error {
            SettingsError::Conflict {
                base_version,
                version,
                ..
            } => base.with_field(
                "base_version",
                base_version.to_string(),
                version.to_string(),
            ),
            SettingsError::Missing { path } | SettingsError::HasChildren { path } => base
                .with_field(
                    "path",
                    path.to_string(),
                    "an existing node without children",
                ),
            SettingsError::MissingParent { path, parent } => {
                let accepted = format!("a path below an existing node; {parent} does not exist");
                base.with_field("path", path.to_string(), accepted)
            }
            SettingsError::Fixed { key, .. } => {
                base.with_field(key.as_str(), "(changed)", "the value given at the creation")
            }
            SettingsError::NotApplicable { path, key } => {
                base.with_field(key.as_str(), path.to_string(), "another kind of node")
            }
            SettingsError::BadValue { source, .. } => {
                let ValueError {
                    key,
                    value,
                    accepted,
                } = source;
                base.with_field(key.as_str(), value.to_string(), accepted.clone())
            }
            SettingsError::SlotsInverted {
                min_slots,
                max_slots,
                ..
            } => base.with_field(
                "min_slots",
                min_slots.to_string(),
                format!("0 to {max_slots}"),
            ),
        }
    }
}

const fn settings_code(error: &SettingsError) -> ErrorCode {
    match error {
        SettingsError::Conflict { .. } => ErrorCode::Conflict,
        SettingsError::Missing { .. } | SettingsError::MissingParent { .. } => ErrorCode::NotFound,
        SettingsError::HasChildren { .. }
        | SettingsError::Fixed { .. }
        | SettingsError::NotApplicable { .. }
        | SettingsError::BadValue { .. }
        | SettingsError::SlotsInverted { .. } => ErrorCode::BadRequest,
    }
}
