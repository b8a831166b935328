//! `balsamctl settings set PATH KEY=VALUE...`.

use super::Assignment;
use super::assignment::edit_of;
use crate::{Client, CtlError, Report};
use balsam_types::Epoch;
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
    /// Version of the node that the edit is based on; the present one if it is left out.
    #[arg(long, value_name = "EPOCH")]
    base_version: Option<u64>,
    /// Wait until the values are in force at every daemon.
    #[arg(long)]
    wait: bool,
}

impl SettingsSet {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn run(self, client: &Client) -> Result<Report, CtlError> {
        let base_version = base_version(client, &self.path, self.base_version).await?;
        let subject = format!("settings of {}", self.path);
        let edit = edit_of(self.path, base_version, self.values);
        let answer = client.edit(edit, self.wait).await?;
        Ok(Report::of_change(subject, &answer))
    }
}

/// Returns the given version, or the present one of the node.
pub(super) async fn base_version(
    client: &Client,
    path: &NodePath,
    given: Option<u64>,
) -> Result<Epoch, CtlError> {
    match given {
        Some(version) => Ok(Epoch(version)),
        None => Ok(client.explain(path, None).await?.version),
    }
}
