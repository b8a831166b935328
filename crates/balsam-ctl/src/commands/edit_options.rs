//! Options of the commands that edit settings.

use crate::{Client, CtlError};
use balsam_types::Epoch;
use balsam_types::settings::NodePath;
use clap::Args;

/// Options of an edit.
#[derive(Clone, Copy, Debug, Args)]
pub struct EditOptions {
    /// Version of the node that the edit is based on; the present one if it is left out.
    #[arg(long = "base-version", value_name = "EPOCH")]
    given_version: Option<u64>,
    /// Wait until the edit is in force at every daemon.
    #[arg(long)]
    pub wait: bool,
}

impl EditOptions {
    /// Returns the given version, or the present one of the node.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer.
    pub async fn base_version(&self, client: &Client, path: &NodePath) -> Result<Epoch, CtlError> {
        match self.given_version {
            Some(version) => Ok(Epoch(version)),
            None => Ok(client.explain(path, None).await?.version),
        }
    }
}
