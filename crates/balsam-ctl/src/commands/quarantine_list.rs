//! `balsamctl quarantine list`.

use crate::{Client, CtlError, Report, Table};
use balsam_wire::operator::{QUARANTINE_PATH, QuarantineResponse};
use clap::Args;

/// Lists quarantined requests.
#[derive(Debug, Args)]
pub struct QuarantineList;

impl QuarantineList {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn run(&self, client: &Client) -> Result<Report, CtlError> {
        let answer: QuarantineResponse = client.get(QUARANTINE_PATH).await?;
        let rows = answer.entries.iter().map(|entry| {
            vec![
                entry.fingerprint.to_string(),
                entry.service.to_string(),
                entry.crashes.to_string(),
                entry.ttl_ms.to_string(),
            ]
        });
        let table = Table::new(["fingerprint", "service", "crashes", "ttl ms"]).with_rows(rows);
        Ok(Report::new(&answer, table))
    }
}
