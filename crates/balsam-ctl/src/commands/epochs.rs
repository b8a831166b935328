//! `balsamctl epochs`.

use crate::report::or_dash;
use crate::{Client, CtlError, Report, Table};
use balsam_wire::operator::{EPOCHS_PATH, EpochsResponse, RosterBody};
use clap::Args;

/// Lists the adopted epoch of each daemon.
#[derive(Debug, Args)]
pub struct Epochs;

impl Epochs {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn run(&self, client: &Client) -> Result<Report, CtlError> {
        let answer: EpochsResponse = client.get(EPOCHS_PATH).await?;
        let rows = answer.daemons.iter().map(|daemon| {
            vec![
                daemon.incarnation.to_string(),
                daemon.epoch.to_string(),
                or_dash(daemon.silent_ms),
            ]
        });
        let table = Table::new(["daemon", "epoch", "silent ms"]).with_rows(rows);
        let summary = format!(
            "daemon {}: epoch {}, right for {} ms, table {}\n",
            answer.me,
            answer.epoch,
            answer.right_ms,
            if answer.table_ok { "answers" } else { "silent" },
        );
        let rosters = rosters_table(&answer.open_rosters);
        Ok(Report::new(&answer, format!("{summary}{table}{rosters}")))
    }
}

/// Shows which daemons a change still has to reach, also those that have left the roster.
fn rosters_table(rosters: &[RosterBody]) -> Table {
    let rows = rosters.iter().map(|roster| {
        let members: Vec<String> = roster.members.iter().map(ToString::to_string).collect();
        vec![roster.since.to_string(), members.join(" ")]
    });
    Table::new(["open roster since", "members"]).with_rows(rows)
}
