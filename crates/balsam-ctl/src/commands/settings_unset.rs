//! `balsamctl settings unset PATH KEY...`.

use super::assignment::parse_key;
use super::settings_set::base_version;
use crate::{Client, CtlError, Report};
use balsam_types::settings::{NodeEdit, NodePath};
use clap::Args;

/// Removes values of a node, so that it inherits them again.
#[derive(Debug, Args)]
pub struct SettingsUnset {
    /// The node.
    path: NodePath,
    /// The keys.
    #[arg(value_name = "KEY", required = true)]
    keys: Vec<String>,
    /// Version of the node that the edit is based on; the present one if it is left out.
    #[arg(long, value_name = "EPOCH")]
    base_version: Option<u64>,
    /// Wait until the change is in force at every daemon.
    #[arg(long)]
    wait: bool,
}

impl SettingsUnset {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if a key is unknown, or the daemon does not answer or refuses.
    pub async fn run(self, client: &Client) -> Result<Report, CtlError> {
        let keys: Result<Vec<_>, _> = self.keys.iter().map(|key| parse_key(key)).collect();
        let keys = keys?;
        let base_version = base_version(client, &self.path, self.base_version).await?;
        let subject = format!("settings of {}", self.path);
        let edit = NodeEdit::new(self.path, base_version);
        let edit = keys.into_iter().fold(edit, NodeEdit::with_unset);
        let answer = client.edit(edit, self.wait).await?;
        Ok(Report::of_change(subject, &answer))
    }
}
