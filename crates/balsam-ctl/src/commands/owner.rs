//! `balsamctl owner SERVICE KEY`.

use crate::client::encode;
use crate::report::or_dash;
use crate::{Client, CtlError, Report, Table};
use balsam_types::ServiceName;
use balsam_wire::operator::{OWNER_PATH, OwnerResponse, OwnerState};
use clap::Args;

const HEADINGS: [&str; 5] = ["unit", "state", "upstream", "address", "dispatcher"];

/// Finds the owner of a key.
#[derive(Debug, Args)]
pub struct Owner {
    /// The service.
    service: ServiceName,
    /// The key.
    key: String,
}

impl Owner {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn run(&self, client: &Client) -> Result<Report, CtlError> {
        let service = encode(self.service.as_str());
        let key = encode(&self.key);
        let path = format!("{OWNER_PATH}?service={service}&key={key}");
        let answer: OwnerResponse = client.get(&path).await?;
        let state = match answer.state {
            OwnerState::Owned => "owned",
            OwnerState::Suspended => "suspended",
        };
        let table = Table::new(HEADINGS).with_row([
            answer.unit.to_string(),
            state.to_owned(),
            or_dash(answer.upstream.as_ref()),
            or_dash(answer.address),
            or_dash(answer.dispatcher),
        ]);
        Ok(Report::new(&answer, table))
    }
}
