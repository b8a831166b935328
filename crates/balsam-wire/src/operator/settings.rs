//! The settings tree and the values in effect.

use super::ErrorResponse;
use super::edit::{parse_key, parse_path};
use balsam_decide::settings::{ResolvedValue, SettingsNode, SettingsTree};
use balsam_types::Epoch;
use balsam_types::settings::{NodePath, SettingKey, SettingValue, Unit};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The answer of `GET /v1/settings`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsResponse {
    /// The epoch of the answer.
    pub epoch: Epoch,
    /// All nodes in the order of their paths.
    pub nodes: Vec<NodeBody>,
}

/// A node of the settings tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeBody {
    /// The node's path.
    pub path: NodePath,
    /// The epoch of its last edit; an edit is based on it.
    pub version: Epoch,
    /// The node's own values.
    pub values: BTreeMap<SettingKey, SettingValue>,
}

impl NodeBody {
    /// Makes the body of a node.
    pub fn new(path: &NodePath, node: &SettingsNode) -> Self {
        Self {
            path: path.clone(),
            version: node.version,
            values: node.values.clone(),
        }
    }
}

/// The answer of `GET /v1/settings/explain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainResponse {
    /// The epoch of the answer.
    pub epoch: Epoch,
    /// The node.
    pub path: NodePath,
    /// The version that an edit of the node is based on; 0 if the node does not exist.
    pub version: Epoch,
    /// The values in effect at the node.
    pub values: Vec<ExplainedBody>,
}

/// A value in effect and where it comes from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedBody {
    /// The key.
    pub key: SettingKey,
    /// The value.
    pub value: SettingValue,
    /// The unit of a number.
    pub unit: Option<String>,
    /// The node that sets the value; `None` for the built-in default.
    pub origin: Option<NodePath>,
    /// The accepted range.
    pub accepted: String,
}

impl ExplainResponse {
    /// Explains `key`, or all keys, at the node `path`.
    ///
    /// # Errors
    ///
    /// Returns a refusal if `path` or `key` is not accepted.
    pub fn of(
        epoch: Epoch,
        tree: &SettingsTree,
        path: &str,
        key: Option<&str>,
    ) -> Result<Self, ErrorResponse> {
        let path = parse_path(path)?;
        let keys = match key {
            Some(key) => vec![parse_key(key)?],
            None => SettingKey::ALL.to_vec(),
        };
        let resolve = |key| ExplainedBody::new(key, tree.resolve(&path, key));
        Ok(Self {
            epoch,
            version: tree.node(&path).map_or(Epoch(0), |node| node.version),
            values: keys.into_iter().map(resolve).collect(),
            path,
        })
    }
}

impl ExplainedBody {
    fn new(key: SettingKey, explained: ResolvedValue) -> Self {
        Self {
            key,
            value: explained.value,
            unit: key.unit().map(|unit| unit_text(unit).to_owned()),
            origin: explained.origin,
            accepted: key.accepted(),
        }
    }
}

const fn unit_text(unit: Unit) -> &'static str {
    match unit {
        Unit::Count => "count",
        Unit::Milliseconds => "ms",
        Unit::Bytes => "bytes",
        Unit::Percent => "percent",
    }
}
