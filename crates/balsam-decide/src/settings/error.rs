//! Errors of settings edits.

use balsam_types::Epoch;
use balsam_types::settings::{NodePath, SettingKey, ValueError};
use snafu::Snafu;

/// Why an edit of the settings tree is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// Another edit of the node was accepted since the version that this one is based on.
    #[snafu(display("{path}: edited since version {base_version}; its version is {version}"))]
    Conflict {
        /// The node.
        path: NodePath,
        /// The version that the edit is based on.
        base_version: Epoch,
        /// The current version of the node.
        version: Epoch,
    },
    /// The node does not exist.
    #[snafu(display("{path}: no such node"))]
    Missing {
        /// The node.
        path: NodePath,
    },
    /// The parent of the node does not exist.
    #[snafu(display("{path}: its parent {parent} does not exist"))]
    MissingParent {
        /// The node.
        path: NodePath,
        /// Its parent.
        parent: NodePath,
    },
    /// The node has children and cannot be deleted.
    #[snafu(display("{path}: still has children, delete them first"))]
    HasChildren {
        /// The node.
        path: NodePath,
    },
    /// The value cannot be changed once the node exists.
    #[snafu(display("{path}: {} is fixed when the node is created", key.as_str()))]
    Fixed {
        /// The node.
        path: NodePath,
        /// The key.
        key: SettingKey,
    },
    /// The key does not apply to this node.
    #[snafu(display("{path}: {} cannot be set here", key.as_str()))]
    NotApplicable {
        /// The node.
        path: NodePath,
        /// The key.
        key: SettingKey,
    },
    /// The value is out of range.
    #[snafu(display("{path}: {source}"))]
    BadValue {
        /// The node.
        path: NodePath,
        /// The reason why the value is rejected.
        source: ValueError,
    },
    /// The guaranteed slots of a rank exceed the maximum number that it can hold.
    #[snafu(display("{path}: min_slots {min_slots} exceeds max_slots {max_slots}"))]
    SlotsInverted {
        /// The node.
        path: NodePath,
        /// The number of guaranteed slots in effect.
        min_slots: u64,
        /// The maximum number of slots in effect.
        max_slots: u64,
    },
}

impl SettingsError {
    /// Returns what the operator can do about the failure.
    pub const fn help(&self) -> &'static str {
        match self {
            Self::Conflict { .. } => "read the node again and repeat the edit on its new version",
            Self::Missing { .. } => "create the node first, or check the path",
            Self::MissingParent { .. } => "create the parent first",
            Self::HasChildren { .. } => "delete the children first",
            Self::Fixed { .. } => "create another service with the wanted value",
            Self::NotApplicable { .. } => "set it at a service, a rank or the root",
            Self::BadValue { .. } => "choose a value in the accepted range",
            Self::SlotsInverted { .. } => "raise max_slots or lower min_slots",
        }
    }
}
