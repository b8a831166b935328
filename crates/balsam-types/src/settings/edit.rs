//! Edits of settings nodes.

use super::{NodePath, SettingKey, SettingValue};
use crate::Epoch;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A change of one node of the settings tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEdit {
    /// The node that is edited.
    pub path: NodePath,
    /// The node's version that the edit is based on; [`Epoch`] 0 if the node must not exist yet.
    pub base_version: Epoch,
    /// Overrides to set, or to remove where the value is `None`; an empty map creates the node.
    pub values: BTreeMap<SettingKey, Option<SettingValue>>,
    /// Removes the whole node; refused while it has children or upstreams.
    pub delete: bool,
}

impl NodeEdit {
    /// Makes an edit of `path` without values, based on version `base_version`.
    pub fn new(path: NodePath, base_version: Epoch) -> Self {
        Self {
            path,
            base_version,
            values: BTreeMap::new(),
            delete: false,
        }
    }

    /// Sets an override.
    #[must_use]
    pub fn with_value(mut self, key: SettingKey, value: SettingValue) -> Self {
        self.values.insert(key, Some(value));
        self
    }

    /// Removes the node instead.
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
