//! `balsamctl rank create SERVICE RANK [KEY=VALUE]...`.

use super::Assignment;
use super::assignment::edit_of;
use crate::{Client, CtlError, Report};
use balsam_types::settings::NodePath;
use balsam_types::{Epoch, RankName, ServiceName};
use clap::Args;

/// Creates a rank of a service.
#[derive(Debug, Args)]
pub struct RankCreate {
    /// The service.
    service: ServiceName,
    /// The rank.
    rank: RankName,
    /// Values that the rank sets itself, such as `priority=1` or `orders=true`.
    #[arg(value_name = "KEY=VALUE")]
    values: Vec<Assignment>,
    /// Wait until the rank is in force at every daemon.
    #[arg(long)]
    wait: bool,
}

impl RankCreate {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn run(self, client: &Client) -> Result<Report, CtlError> {
        let subject = format!("rank {} of service {}", self.rank, self.service);
        let path = NodePath::Rank(self.service, self.rank);
        let edit = edit_of(path, Epoch(0), self.values);
        let answer = client.edit(edit, self.wait).await?;
        Ok(Report::of_change(subject, &answer))
    }
}
