//! Setting values.

use super::SettingKey;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::fmt;
use std::sync::Arc;

/// The value of a setting, represented in JSON as a plain number, boolean or string.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum SettingValue {
    /// A number in the unit of the key.
    Number(u64),
    /// A boolean flag.
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

/// An error for a value that is not valid for its key.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{}: value {value} is not accepted (accepted: {accepted})", key.as_str()))]
pub struct ValueError {
    /// The key that was set.
    pub key: SettingKey,
    /// The rejected value.
    pub value: SettingValue,
    /// A description of the accepted values.
    pub accepted: String,
}
