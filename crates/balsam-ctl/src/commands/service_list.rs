//! `balsamctl service list`.

use super::settings_get::{own_values, read_nodes};
use crate::{Client, CtlError, Report, Table};
use balsam_types::settings::NodePath;
use clap::Args;

/// Lists the services.
#[derive(Debug, Args)]
pub struct ServiceList;

impl ServiceList {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn run(&self, client: &Client) -> Result<Report, CtlError> {
        let nodes = read_nodes(client, |path| matches!(path, NodePath::Service(_))).await?;
        let rows = nodes.iter().filter_map(|node| match &node.path {
            NodePath::Service(service) => Some(vec![
                service.to_string(),
                node.version.to_string(),
                own_values(node),
            ]),
            _ => None,
        });
        let table = Table::new(["service", "version", "own values"]).with_rows(rows);
        Ok(Report::new(&nodes, table))
    }
}
