//! `balsamctl entry upstreams`.

use crate::{Client, CtlError, Report, Table};
use balsam_types::UpstreamState;
use balsam_wire::operator::{ENTRY_UPSTREAMS_PATH, EntryUpstreamsResponse};
use clap::Args;

const HEADINGS: [&str; 7] = [
    "upstream", "service", "zone", "address", "slots", "state", "ranges",
];

/// Lists the upstreams that an entry daemon believes to exist.
#[derive(Debug, Args)]
pub struct EntryUpstreams;

impl EntryUpstreams {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn run(&self, client: &Client) -> Result<Report, CtlError> {
        let answer: EntryUpstreamsResponse = client.get(ENTRY_UPSTREAMS_PATH).await?;
        let rows = answer.upstreams.iter().map(|upstream| {
            let state = match upstream.state {
                UpstreamState::Ready => "ready",
                UpstreamState::Draining => "draining",
            };
            vec![
                upstream.name.to_string(),
                upstream.service.to_string(),
                upstream.zone.to_string(),
                upstream.address.to_string(),
                upstream.slots.to_string(),
                state.to_owned(),
                upstream.ranges.to_string(),
            ]
        });
        let table = Table::new(HEADINGS).with_rows(rows);
        let age = format!("known as of {} ms ago\n", answer.knowledge_age_ms);
        Ok(Report::new(&answer, format!("{age}{table}")))
    }
}
