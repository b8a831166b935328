//! Responses that describe the settings tree and effective values.

use super::ErrorResponse;
use super::edit::{parse_key, parse_path};
use balsam_decide::settings::{ResolvedValue, SettingsNode, SettingsTree};
use balsam_types::Epoch;
use balsam_types::settings::{NodePath, SettingKey, SettingValue, Unit};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The response to `GET /v1/settings`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsResponse {
    /// The control epoch that the response describes.
    pub epoch: Epoch,
    /// All nodes, sorted by path.
    pub nodes: Vec<NodeBody>,
}

/// A node of the settings tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeBody {
    /// The path of the node.
    pub path: NodePath,
    /// The epoch of the last edit of the node, to be sent as the base version of the next edit.
    pub version: Epoch,
    /// The overrides set at the node, without inherited values.
    pub values: BTreeMap<SettingKey, SettingValue>,
}

impl NodeBody {
    /// Creates the body for a node.
    pub fn new(path: &NodePath, node: &SettingsNode) -> Self {
        Self {
            path: path.clone(),
            version: node.version,
            values: node.values.clone(),
        }
    }
}

/// The response to `GET /v1/settings/explain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainResponse {
    /// The control epoch that the response describes.
    pub epoch: Epoch,
    /// The path of the node.
    pub path: NodePath,
    /// The version that the next edit of the node must be based on; 0 if the node does not exist.
    pub version: Epoch,
    /// The effective values at the node.
    pub values: Vec<ExplainedBody>,
}

/// An effective value and its origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedBody {
    /// The settings key.
    pub key: SettingKey,
    /// The effective value.
    pub value: SettingValue,
    /// The unit of a numeric value.
    pub unit: Option<String>,
    /// The node that sets the value; `None` for the built-in default.
    pub origin: Option<NodePath>,
    /// A description of the accepted values.
    pub accepted: String,
}

impl ExplainResponse {
    /// Resolves `key`, or all keys if it is `None`, at the node `path`.
    ///
    /// # Errors
    ///
    /// Returns an [`ErrorResponse`] if `path` or `key` is invalid.
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
    fn new(key: SettingKey, resolved: ResolvedValue) -> Self {
        Self {
            key,
            value: resolved.value,
            unit: key.unit().map(|unit| unit_text(unit).to_owned()),
            origin: resolved.origin,
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
