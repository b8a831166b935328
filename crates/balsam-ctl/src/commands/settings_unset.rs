//! `balsamctl settings unset PATH KEY...`.

use super::EditOptions;
use super::assignment::parse_key;
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
    #[command(flatten)]
    options: EditOptions,
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
        let base_version = self.options.base_version(client, &self.path).await?;
        let subject = format!("settings of {}", self.path);
        let edit = NodeEdit::new(self.path, base_version);
        let edit = keys.into_iter().fold(edit, NodeEdit::with_unset);
        let answer = client.edit(edit, self.options.wait).await?;
        Ok(Report::of_change(subject, &answer))
    }
}
