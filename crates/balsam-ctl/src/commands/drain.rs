//! `balsamctl drain UPSTREAM [--undo]`.

use crate::client::encode;
use crate::{Client, CtlError, Report};
use balsam_types::UpstreamName;
use balsam_wire::operator::{DRAIN_SUFFIX, DrainRequest, UPSTREAMS_PATH};
use clap::Args;

/// Drains an upstream, or takes a drain back.
#[derive(Debug, Args)]
pub struct Drain {
    /// The upstream.
    upstream: UpstreamName,
    /// Take the drain back.
    #[arg(long)]
    undo: bool,
}

impl Drain {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn run(&self, client: &Client) -> Result<Report, CtlError> {
        let name = encode(self.upstream.as_str());
        let path = format!("{UPSTREAMS_PATH}/{name}{DRAIN_SUFFIX}");
        let drain = !self.undo;
        let answer = client.post(&path, &DrainRequest { drain }).await?;
        let subject = if drain { "drain" } else { "end of the drain" };
        let subject = format!("{subject} of {}", self.upstream);
        Ok(Report::of_change(subject, &answer))
    }
}
