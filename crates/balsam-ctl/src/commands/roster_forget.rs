//! `balsamctl roster forget INCARNATION`.

use crate::{Client, CtlError, Report};
use balsam_wire::operator::{FORGET_PATH, ForgetRequest, IdText};
use clap::Args;

/// Removes a daemon that is known to be dead from the roster.
#[derive(Debug, Args)]
pub struct RosterForget {
    /// The incarnation that `daemons` shows.
    incarnation: IdText,
}

impl RosterForget {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn run(&self, client: &Client) -> Result<Report, CtlError> {
        let incarnation = self.incarnation;
        let answer = client
            .post(FORGET_PATH, &ForgetRequest { incarnation })
            .await?;
        Ok(Report::of_change(
            format!("removal of daemon {incarnation}"),
            &answer,
        ))
    }
}
