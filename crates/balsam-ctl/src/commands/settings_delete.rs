//! `balsamctl settings delete PATH`.

use super::EditOptions;
use crate::{Client, CtlError, Report};
use balsam_types::settings::{NodeEdit, NodePath};
use clap::Args;

/// Deletes a node that has no children, such as a rank that is no longer used.
#[derive(Debug, Args)]
pub struct SettingsDelete {
    /// The node.
    path: NodePath,
    #[command(flatten)]
    options: EditOptions,
}

impl SettingsDelete {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn run(self, client: &Client) -> Result<Report, CtlError> {
        let base_version = self.options.base_version(client, &self.path).await?;
        let subject = format!("settings of {}", self.path);
        let edit = NodeEdit::new(self.path, base_version).with_delete();
        let answer = client.edit(edit, self.options.wait).await?;
        Ok(Report::of_change(subject, &answer))
    }
}
