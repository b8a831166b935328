//! `balsamctl zone list`.

use super::settings_get::{own_values, read_nodes};
use crate::{Client, CtlError, Report, Table};
use balsam_types::settings::NodePath;
use clap::Args;

/// Lists the availability zones.
#[derive(Debug, Args)]
pub struct ZoneList;

impl ZoneList {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn run(&self, client: &Client) -> Result<Report, CtlError> {
        let nodes = read_nodes(client, |path| matches!(path, NodePath::Zone(_))).await?;
        let rows = nodes.iter().filter_map(|node| match &node.path {
            NodePath::Zone(zone) => Some(vec![
                zone.to_string(),
                node.version.to_string(),
                own_values(node),
            ]),
            _ => None,
        });
        let table = Table::new(["zone", "version", "own values"]).with_rows(rows);
        Ok(Report::new(&nodes, table))
    }
}
