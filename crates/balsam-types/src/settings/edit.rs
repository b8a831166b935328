//! Edits of nodes in the settings tree.

use super::{NodePath, SettingKey, SettingValue};
use crate::Epoch;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An edit of one node in the settings tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEdit {
    /// The edited node.
    pub path: NodePath,
    /// The node version that the edit is based on; [`Epoch`] 0 means that the node must not exist.
    pub base_version: Epoch,
    /// The overrides to set, or to remove where the value is `None`. On a new node an empty map
    /// creates the node without overrides.
    pub values: BTreeMap<SettingKey, Option<SettingValue>>,
    /// Whether to delete the node; rejected while the node has children or upstreams.
    pub delete: bool,
}

impl NodeEdit {
    /// Creates an edit of `path` without values, based on version `base_version`.
    pub fn new(path: NodePath, base_version: Epoch) -> Self {
        Self {
            path,
            base_version,
            values: BTreeMap::new(),
            delete: false,
        }
    }

    /// Sets an override at the node.
    #[must_use]
    pub fn with_value(mut self, key: SettingKey, value: SettingValue) -> Self {
        self.values.insert(key, Some(value));
        self
    }

    /// Turns the edit into a deletion of the node.
    #[must_use]
    pub fn with_delete(mut self) -> Self {
        self.delete = true;
        self
    }

    /// Removes an override, so that the node inherits the value again.
    #[must_use]
    pub fn with_unset(mut self, key: SettingKey) -> Self {
        self.values.insert(key, None);
        self
    }
}
