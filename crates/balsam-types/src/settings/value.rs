//! Values of settings.

use super::SettingKey;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::fmt;
use std::sync::Arc;

/// The value of a setting; its JSON form is a plain number, boolean or string.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum SettingValue {
    /// A number in the key's unit.
    Number(u64),
    /// A switch.
    Flag(bool),
    /// A name.
    Text(Arc<str>),
}

impl fmt::Display for SettingValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Number(number) => write!(f, "{number}"),
            Self::Flag(flag) => write!(f, "{flag}"),
            Self::Text(text) => f.write_str(text),
        }
    }
}

/// A value that its key does not accept.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{}: value {value} is not accepted (accepted: {accepted})", key.as_str()))]
pub struct ValueError {
    /// The key.
    pub key: SettingKey,
    /// The refused value.
    pub value: SettingValue,
    /// The accepted range.
    pub accepted: String,
}
