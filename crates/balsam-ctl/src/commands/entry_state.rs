//! `balsamctl entry state`.

use crate::report::or_dash;
use crate::{Client, CtlError, Report, Table};
use balsam_wire::operator::{ENTRY_PATH, EntryResponse};
use clap::Args;

const HEADINGS: [&str; 8] = [
    "daemon",
    "ready",
    "config",
    "for ms",
    "age ms",
    "leader",
    "daemons",
    "upstreams",
];

/// Shows what an entry daemon believes.
#[derive(Debug, Args)]
pub struct EntryState;

impl EntryState {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn run(&self, client: &Client) -> Result<Report, CtlError> {
        let answer: EntryResponse = client.get(ENTRY_PATH).await?;
        let table = Table::new(HEADINGS).with_row([
            answer.daemon.to_string(),
            answer.is_ready.to_string(),
            or_dash(answer.config_version),
            or_dash(answer.config_for_ms),
            answer.knowledge_age_ms.to_string(),
            or_dash(answer.leader.as_ref()),
            answer.daemons.to_string(),
            answer.upstreams.to_string(),
        ]);
        Ok(Report::new(&answer, table))
    }
}
