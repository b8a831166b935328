//! `balsamctl settings explain PATH [KEY]`.

use super::assignment::parse_key;
use crate::report::or_dash;
use crate::{Client, CtlError, Report, Table};
use balsam_types::settings::NodePath;
use balsam_wire::operator::ExplainedBody;
use clap::Args;

const HEADINGS: [&str; 5] = ["key", "value", "unit", "comes from", "accepted"];

/// Shows the values in effect at a node and the node that each comes from.
#[derive(Debug, Args)]
pub struct SettingsExplain {
    /// The node, such as `/services/lookup/ranks/urgent`.
    path: NodePath,
    /// The key; all keys if it is left out.
    key: Option<String>,
}

impl SettingsExplain {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the key is unknown, or the daemon does not answer or refuses.
    pub async fn run(&self, client: &Client) -> Result<Report, CtlError> {
        if let Some(key) = &self.key {
            parse_key(key)?;
        }
        let answer = client.explain(&self.path, self.key.as_deref()).await?;
        let rows = answer.values.iter().map(row);
        Ok(Report::new(&answer, Table::new(HEADINGS).with_rows(rows)))
    }
}

fn row(explained: &ExplainedBody) -> Vec<String> {
    let origin = explained.origin.as_ref();
    vec![
        explained.key.as_str().to_owned(),
        explained.value.to_string(),
        or_dash(explained.unit.as_ref()),
        origin.map_or_else(|| "(default)".to_owned(), ToString::to_string),
        explained.accepted.clone(),
    ]
}
