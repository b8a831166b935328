//! `balsamctl rank list SERVICE`.

use super::settings_get::{own_values, read_nodes};
use crate::{Client, CtlError, Report, Table};
use balsam_types::ServiceName;
use balsam_types::settings::NodePath;
use clap::Args;

/// Lists the ranks of a service.
#[derive(Debug, Args)]
pub struct RankList {
    /// The service.
    service: ServiceName,
}

impl RankList {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn run(&self, client: &Client) -> Result<Report, CtlError> {
        let wanted = |path: &NodePath| matches!(path, NodePath::Rank(service, _) if *service == self.service);
        let nodes = read_nodes(client, wanted).await?;
        let rows = nodes.iter().filter_map(|node| match &node.path {
            NodePath::Rank(_, rank) => Some(vec![
                rank.to_string(),
                node.version.to_string(),
                own_values(node),
            ]),
            _ => None,
        });
        let table = Table::new(["rank", "version", "own values"]).with_rows(rows);
        Ok(Report::new(&nodes, table))
    }
}
