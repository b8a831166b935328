//! `balsamctl rank list SERVICE`.

use super::settings_get::{own_values, read_nodes};
use crate::error::NoNodeSnafu;
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
        let service = Some(&self.service);
        let mut nodes = read_nodes(client, |path| path.service() == service).await?;
        if nodes.is_empty() {
            let path = NodePath::Service(self.service.clone());
            return NoNodeSnafu { path }.fail();
        }
        nodes.retain(|node| matches!(node.path, NodePath::Rank(..)));
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
