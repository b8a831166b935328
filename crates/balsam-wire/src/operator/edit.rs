//! Requests that edit the settings tree.

use super::ErrorResponse;
use balsam_types::Epoch;
use balsam_types::settings::{NodeEdit, NodePath, SettingKey, SettingValue};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// The body of `POST /v1/settings/edit`. The edits are applied atomically.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    /// The edits, one per node.
    pub edits: Vec<EditBody>,
    /// Whether to delay the response until the edit is in force at every daemon.
    #[serde(default)]
    pub wait: bool,
}

/// An edit of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditBody {
    /// The path of the node.
    pub path: String,
    /// The node version that the edit is based on; 0 creates the node.
    pub base_version: Epoch,
    /// The values to set by key; `null` removes the override at the node.
    #[serde(default)]
    pub values: BTreeMap<String, Option<Value>>,
    /// Whether to delete the node.
    #[serde(default)]
    pub delete: bool,
}

impl From<NodeEdit> for EditBody {
    fn from(edit: NodeEdit) -> Self {
        let values = edit.values.into_iter();
        Self {
            path: edit.path.to_string(),
            base_version: edit.base_version,
            values: values
                .map(|(key, value)| (key.as_str().to_owned(), value.map(to_json)))
                .collect(),
            delete: edit.delete,
        }
    }
}

impl TryFrom<EditBody> for NodeEdit {
    type Error = ErrorResponse;

    fn try_from(body: EditBody) -> Result<Self, ErrorResponse> {
        let mut edit = Self::new(parse_path(&body.path)?, body.base_version);
        edit.delete = body.delete;
        for (text, value) in body.values {
            let key = parse_key(&text)?;
            let value = match value {
                Some(value) => Some(from_json(key, value)?),
                None => None,
            };
            edit.values.insert(key, value);
        }
        Ok(edit)
    }
}

/// Parses the path of a settings node.
pub(crate) fn parse_path(text: &str) -> Result<NodePath, ErrorResponse> {
    text.parse().map_err(|error| {
        let accepted = "/, /services/S, /services/S/ranks/R, /services/S/ranks/R/members/M, \
                        /zones/Z";
        let mut refusal = ErrorResponse::bad_field("path", text, accepted);
        refusal.message = format!("{error}");
        refusal
    })
}

/// Parses the name of a settings key.
pub(crate) fn parse_key(text: &str) -> Result<SettingKey, ErrorResponse> {
    SettingKey::from_text(text).ok_or_else(|| {
        let keys: Vec<_> = SettingKey::ALL.iter().map(|key| key.as_str()).collect();
        ErrorResponse::bad_field("key", text, keys.join(", "))
    })
}

fn from_json(key: SettingKey, value: Value) -> Result<SettingValue, ErrorResponse> {
    let displayed = value.to_string();
    let value = match value {
        Value::Bool(flag) => Some(SettingValue::Flag(flag)),
        Value::Number(number) => number.as_u64().map(SettingValue::Number),
        Value::String(text) => Some(SettingValue::Text(text.into())),
        Value::Null | Value::Array(_) | Value::Object(_) => None,
    };
    value
        .filter(|value| key.check(value).is_ok())
        .ok_or_else(|| ErrorResponse::bad_field(key.as_str(), displayed, key.accepted()))
}

fn to_json(value: SettingValue) -> Value {
    match value {
        SettingValue::Number(number) => number.into(),
        SettingValue::Flag(flag) => flag.into(),
        SettingValue::Text(text) => text.as_ref().into(),
    }
}
