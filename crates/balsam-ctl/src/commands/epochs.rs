//! `balsamctl epochs`.

use crate::report::or_dash;
use crate::{Client, CtlError, Report, Table};
use balsam_wire::operator::{EPOCHS_PATH, EpochsResponse};
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
            "daemon {}: epoch {}, right for {} ms, table {}, {} open rosters\n",
            answer.me,
            answer.epoch,
            answer.right_ms,
            if answer.table_ok { "answers" } else { "silent" },
            answer.open_rosters.len(),
        );
        Ok(Report::new(&answer, format!("{summary}{table}")))
    }
}
