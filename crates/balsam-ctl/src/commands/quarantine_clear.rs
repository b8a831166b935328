//! `balsamctl quarantine clear FINGERPRINT`.

use crate::{Client, CtlError, Report};
use balsam_wire::operator::{IdText, QUARANTINE_PATH};
use clap::Args;

/// Accepts a quarantined request again.
#[derive(Debug, Args)]
pub struct QuarantineClear {
    /// The fingerprint that `quarantine list` shows.
    fingerprint: IdText,
}

impl QuarantineClear {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn run(&self, client: &Client) -> Result<Report, CtlError> {
        let path = format!("{QUARANTINE_PATH}?fingerprint={}", self.fingerprint);
        let answer = client.delete(&path).await?;
        let subject = format!("end of quarantine {}", self.fingerprint);
        Ok(Report::of_change(subject, &answer))
    }
}
