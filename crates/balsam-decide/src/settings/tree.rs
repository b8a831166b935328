//! The tree of settings nodes.

use super::SettingsError;
use super::error::{
    BadValueSnafu, ConflictSnafu, FixedSnafu, HasChildrenSnafu, MissingParentSnafu, MissingSnafu,
    NotApplicableSnafu, SlotsInvertedSnafu,
};
use balsam_types::Epoch;
use balsam_types::settings::{NodeEdit, NodePath, SettingKey, SettingValue};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, ensure};
use std::collections::BTreeMap;

/// One node: its overrides and the epoch of its last edit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsNode {
    /// The epoch of the node's last edit.
    pub version: Epoch,
    /// The values that the node sets itself instead of inheriting them.
    pub values: BTreeMap<SettingKey, SettingValue>,
}

/// A value with the node that it comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedValue {
    /// The value in effect.
    pub value: SettingValue,
    /// The node that sets it; `None` for the built-in default.
    pub origin: Option<NodePath>,
}

/// The settings tree at one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsTree {
    nodes: BTreeMap<NodePath, SettingsNode>,
}

impl Default for SettingsTree {
    fn default() -> Self {
        Self::new()
    }
}

impl SettingsTree {
    /// Creates a tree that contains only the root.
    pub fn new() -> Self {
        Self {
            nodes: BTreeMap::from([(NodePath::Root, SettingsNode::default())]),
        }
    }

    /// Returns the node at `path`.
    pub fn node(&self, path: &NodePath) -> Option<&SettingsNode> {
        self.nodes.get(path)
    }

    /// Returns all nodes in the order of their paths.
    pub fn nodes(&self) -> impl Iterator<Item = (&NodePath, &SettingsNode)> {
        self.nodes.iter()
    }

    /// Returns the value of `key` in effect at `path`, with the node that sets it.
    ///
    /// The node itself does not have to exist: a member without overrides inherits from its rank.
    pub fn resolve(&self, path: &NodePath, key: SettingKey) -> ResolvedValue {
        let mut at = Some(path.clone());
        while let Some(here) = at {
            if let Some(value) = self.nodes.get(&here).and_then(|node| node.values.get(&key)) {
                return ResolvedValue {
                    value: value.clone(),
                    origin: Some(here),
                };
            }
            at = here.parent();
        }
        ResolvedValue {
            value: key.default_value(),
            origin: None,
        }
    }

    /// Returns the number in effect at `path`, or the default if the value is not a number.
    pub fn number(&self, path: &NodePath, key: SettingKey) -> u64 {
        match (self.resolve(path, key).value, key.default_value()) {
            (SettingValue::Number(number), _) | (_, SettingValue::Number(number)) => number,
            _ => 0,
        }
    }

    /// Returns the flag in effect at `path`.
    pub fn flag(&self, path: &NodePath, key: SettingKey) -> bool {
        self.resolve(path, key).value == SettingValue::Flag(true)
    }

    /// Applies all of `edits` as the change of `epoch`, or none of them.
    ///
    /// # Errors
    ///
    /// Returns the first [`SettingsError`]; the tree is then unchanged.
    pub fn apply(&mut self, epoch: Epoch, edits: &[NodeEdit]) -> Result<(), SettingsError> {
        let mut next = self.clone();
        for edit in edits {
            next.apply_one(epoch, edit)?;
        }
        for edit in edits {
            next.check_slots(&edit.path)?;
        }
        *self = next;
        Ok(())
    }

    fn apply_one(&mut self, epoch: Epoch, edit: &NodeEdit) -> Result<(), SettingsError> {
        let path = &edit.path;
        let existing = self.nodes.get(path);
        let version = existing.map_or(Epoch(0), |node| node.version);
        ensure!(
            edit.base_version == version,
            ConflictSnafu {
                path: path.clone(),
                base_version: edit.base_version,
                version
            }
        );
        if edit.delete {
            return self.delete(path);
        }
        if let Some(parent) = path.parent() {
            ensure!(
                self.nodes.contains_key(&parent),
                MissingParentSnafu {
                    path: path.clone(),
                    parent
                }
            );
        }
        let exists = existing.is_some();
        let mut values = existing.map(|node| node.values.clone()).unwrap_or_default();
        for (key, value) in &edit.values {
            check_key(path, *key, exists)?;
            match value {
                Some(value) => {
                    key.check(value)
                        .with_context(|_| BadValueSnafu { path: path.clone() })?;
                    values.insert(*key, value.clone());
                }
                None => {
                    values.remove(key);
                }
            }
        }
        self.nodes.insert(
            path.clone(),
            SettingsNode {
                version: epoch,
                values,
            },
        );
        Ok(())
    }

    fn delete(&mut self, path: &NodePath) -> Result<(), SettingsError> {
        let has_children = self
            .nodes
            .keys()
            .any(|node| node.parent().as_ref() == Some(path));
        ensure!(!has_children, HasChildrenSnafu { path: path.clone() });
        self.nodes
            .remove(path)
            .context(MissingSnafu { path: path.clone() })?;
        Ok(())
    }

    /// Checks that `min_slots` does not exceed `max_slots` at `path` and at all nodes below it.
    ///
    /// An edit of `path` can contradict the overrides of the nodes that inherit from it.
    fn check_slots(&self, path: &NodePath) -> Result<(), SettingsError> {
        for node in self.nodes.keys().filter(|node| is_below(node, path)) {
            let min_slots = self.number(node, SettingKey::MinSlots);
            let max_slots = self.number(node, SettingKey::MaxSlots);
            ensure!(
                min_slots <= max_slots,
                SlotsInvertedSnafu {
                    path: node.clone(),
                    min_slots,
                    max_slots
                }
            );
        }
        Ok(())
    }
}

fn is_below(node: &NodePath, ancestor: &NodePath) -> bool {
    let mut at = Some(node.clone());
    while let Some(here) = at {
        if here == *ancestor {
            return true;
        }
        at = here.parent();
    }
    false
}

fn check_key(path: &NodePath, key: SettingKey, exists: bool) -> Result<(), SettingsError> {
    let for_zone = matches!(path, NodePath::Zone(_));
    let applicable = match key {
        SettingKey::Region => for_zone,
        SettingKey::Slices => matches!(path, NodePath::Root | NodePath::Service(_)),
        _ => !for_zone,
    };
    ensure!(
        applicable,
        NotApplicableSnafu {
            path: path.clone(),
            key
        }
    );
    let fixed = key == SettingKey::Slices && (exists || *path == NodePath::Root);
    ensure!(
        !fixed,
        FixedSnafu {
            path: path.clone(),
            key
        }
    );
    Ok(())
}
