//! Arguments of the form `KEY=VALUE`.

use crate::CtlError;
use crate::error::{BadValueSnafu, NoAssignmentSnafu, UnknownKeySnafu};
use balsam_types::Epoch;
use balsam_types::settings::{NodeEdit, NodePath, SettingKey, SettingValue};
use snafu::{OptionExt, ResultExt};
use std::str::FromStr;

/// A value for a settings key, checked before anything is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The key.
    pub key: SettingKey,
    /// The value.
    pub value: SettingValue,
}

impl FromStr for Assignment {
    type Err = CtlError;

    fn from_str(text: &str) -> Result<Self, CtlError> {
        let (key, value) = text.split_once('=').context(NoAssignmentSnafu { text })?;
        let key = parse_key(key)?;
        let value = parse_value(key, value);
        key.check(&value).context(BadValueSnafu)?;
        Ok(Self { key, value })
    }
}

/// Finds a settings key.
pub(super) fn parse_key(text: &str) -> Result<SettingKey, CtlError> {
    SettingKey::from_text(text).with_context(|| {
        let keys: Vec<_> = SettingKey::ALL.iter().map(|key| key.as_str()).collect();
        UnknownKeySnafu {
            text,
            accepted: keys.join(", "),
        }
    })
}

/// Reads a value of the key's type; a text of another type is kept and refused by the key's check.
fn parse_value(key: SettingKey, text: &str) -> SettingValue {
    let parsed = match key.default_value() {
        SettingValue::Number(_) => text.parse().ok().map(SettingValue::Number),
        SettingValue::Flag(_) => text.parse().ok().map(SettingValue::Flag),
        SettingValue::Text(_) => None,
    };
    parsed.unwrap_or_else(|| SettingValue::Text(text.into()))
}

/// Makes the edit that sets `assignments` at `path`.
pub(super) fn edit_of(
    path: NodePath,
    base_version: Epoch,
    assignments: Vec<Assignment>,
) -> NodeEdit {
    let edit = NodeEdit::new(path, base_version);
    assignments
        .into_iter()
        .fold(edit, |edit, Assignment { key, value }| {
            edit.with_value(key, value)
        })
}
