//! `balsamctl settings get [PATH]`.

use crate::error::NoNodeSnafu;
use crate::{Client, CtlError, Report, Table};
use balsam_types::settings::NodePath;
use balsam_wire::operator::{NodeBody, SETTINGS_PATH, SettingsResponse};
use clap::Args;

/// Shows the values that nodes set themselves.
#[derive(Debug, Args)]
pub struct SettingsGet {
    /// The node; all nodes if it is left out.
    path: Option<NodePath>,
}

impl SettingsGet {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn run(&self, client: &Client) -> Result<Report, CtlError> {
        let wanted = |path: &NodePath| self.path.as_ref().is_none_or(|wanted| wanted == path);
        let nodes = read_nodes(client, wanted).await?;
        if let Some(path) = self.path.as_ref().filter(|_| nodes.is_empty()) {
            return NoNodeSnafu { path: path.clone() }.fail();
        }
        let rows = nodes.iter().map(|node| {
            vec![
                node.path.to_string(),
                node.version.to_string(),
                own_values(node),
            ]
        });
        let table = Table::new(["path", "version", "own values"]).with_rows(rows);
        Ok(Report::new(&nodes, table))
    }
}

/// Reads the nodes whose path is wanted.
pub(super) async fn read_nodes(
    client: &Client,
    wanted: impl Fn(&NodePath) -> bool,
) -> Result<Vec<NodeBody>, CtlError> {
    let answer: SettingsResponse = client.get(SETTINGS_PATH).await?;
    let nodes = answer.nodes.into_iter();
    Ok(nodes.filter(|node| wanted(&node.path)).collect())
}

/// Shows the values that a node sets itself.
pub(super) fn own_values(node: &NodeBody) -> String {
    let values = node.values.iter();
    let shown: Vec<String> = values
        .map(|(key, value)| format!("{}={value}", key.as_str()))
        .collect();
    if shown.is_empty() {
        return "-".to_owned();
    }
    shown.join(" ")
}
