//! `balsamctl daemons`.

use crate::report::or_dash;
use crate::{Client, CtlError, Report, Table};
use balsam_wire::operator::{DAEMONS_PATH, DaemonBody, DaemonsResponse};
use clap::Args;

const HEADINGS: [&str; 6] = [
    "incarnation",
    "peer address",
    "zone",
    "role",
    "epoch",
    "silent ms",
];

/// Lists the daemons of the roster.
#[derive(Debug, Args)]
pub struct Daemons;

impl Daemons {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn run(&self, client: &Client) -> Result<Report, CtlError> {
        let answer: DaemonsResponse = client.get(DAEMONS_PATH).await?;
        let rows = answer.daemons.iter().map(row);
        Ok(Report::new(&answer, Table::new(HEADINGS).with_rows(rows)))
    }
}

fn row(daemon: &DaemonBody) -> Vec<String> {
    let role = match (daemon.placer, daemon.suspected) {
        (true, false) => "placer",
        (true, true) => "placer, suspected",
        (false, true) => "suspected",
        (false, false) => "-",
    };
    vec![
        daemon.incarnation.to_string(),
        daemon.peer_address.to_string(),
        daemon.zone.to_string(),
        role.to_owned(),
        or_dash(daemon.epoch),
        or_dash(daemon.silent_ms),
    ]
}
