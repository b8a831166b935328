//! `balsamctl upstreams`.

use crate::report::or_dash;
use crate::{Client, CtlError, Report, Table};
use balsam_types::control::UpstreamStatus;
use balsam_wire::operator::{UPSTREAMS_PATH, UpstreamBody, UpstreamsResponse};
use clap::Args;

const HEADINGS: [&str; 9] = [
    "upstream",
    "service",
    "zone",
    "address",
    "status",
    "dispatcher",
    "owned",
    "leaving",
    "coming",
];

/// Lists the upstreams.
#[derive(Debug, Args)]
pub struct Upstreams;

impl Upstreams {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn run(&self, client: &Client) -> Result<Report, CtlError> {
        let answer: UpstreamsResponse = client.get(UPSTREAMS_PATH).await?;
        let rows = answer.upstreams.iter().map(row);
        Ok(Report::new(&answer, Table::new(HEADINGS).with_rows(rows)))
    }
}

fn row(upstream: &UpstreamBody) -> Vec<String> {
    let status = match (upstream.status, upstream.drained_by_operator) {
        (UpstreamStatus::Active, _) => "active",
        (UpstreamStatus::Draining, true) => "draining (operator)",
        (UpstreamStatus::Draining, false) => "draining",
        (UpstreamStatus::Lost, _) => "lost",
    };
    vec![
        upstream.name.to_string(),
        upstream.service.to_string(),
        upstream.zone.to_string(),
        upstream.address.to_string(),
        status.to_owned(),
        or_dash(upstream.acting_dispatcher),
        upstream.units_owned.to_string(),
        upstream.units_leaving.to_string(),
        upstream.units_coming.to_string(),
    ]
}
