//! `balsamctl settings set PATH KEY=VALUE...`.

use super::assignment::edit_of;
use super::{Assignment, EditOptions};
use crate::{Client, CtlError, Report};
use balsam_types::settings::NodePath;
use clap::Args;

/// Sets values of a node.
#[derive(Debug, Args)]
pub struct SettingsSet {
    /// The node, such as `/services/lookup/ranks/urgent`.
    path: NodePath,
    /// The values.
    #[arg(value_name = "KEY=VALUE", required = true)]
    values: Vec<Assignment>,
    #[command(flatten)]
    options: EditOptions,
}

impl SettingsSet {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn run(self, client: &Client) -> Result<Report, CtlError> {
        let base_version = self.options.base_version(client, &self.path).await?;
        let subject = format!("settings of {}", self.path);
        let edit = edit_of(self.path, base_version, self.values);
        let answer = client.edit(edit, self.options.wait).await?;
        Ok(Report::of_change(subject, &answer))
    }
}
