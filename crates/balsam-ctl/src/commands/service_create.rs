//! `balsamctl service create SERVICE [KEY=VALUE]...`.

use super::Assignment;
use super::assignment::edit_of;
use crate::{Client, CtlError, Report};
use balsam_types::settings::NodePath;
use balsam_types::{Epoch, ServiceName};
use clap::Args;

/// Creates a service.
#[derive(Debug, Args)]
pub struct ServiceCreate {
    /// The service.
    service: ServiceName,
    /// Values that the service sets itself; `slices` can be set only here.
    #[arg(value_name = "KEY=VALUE")]
    values: Vec<Assignment>,
    /// Wait until the service is in force at every daemon.
    #[arg(long)]
    wait: bool,
}

impl ServiceCreate {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn run(self, client: &Client) -> Result<Report, CtlError> {
        let subject = format!("service {}", self.service);
        let edit = edit_of(NodePath::Service(self.service), Epoch(0), self.values);
        let answer = client.edit(edit, self.wait).await?;
        Ok(Report::of_change(subject, &answer))
    }
}
