//! `balsamctl entry owner SERVICE KEY`.

use crate::client::encode;
use crate::{Client, CtlError, Report, Table};
use balsam_types::{ServiceName, UpstreamName};
use balsam_wire::operator::{ENTRY_OWNER_PATH, EntryOwnerResponse};
use clap::Args;

const HEADINGS: [&str; 7] = [
    "range", "owner", "address", "token", "believed", "former", "age ms",
];

/// Finds the owner of a key as an entry daemon knows it.
#[derive(Debug, Args)]
pub struct EntryOwner {
    /// The service.
    service: ServiceName,
    /// The key.
    key: u16,
}

impl EntryOwner {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn run(&self, client: &Client) -> Result<Report, CtlError> {
        let service = encode(self.service.as_str());
        let path = format!("{ENTRY_OWNER_PATH}?service={service}&key={}", self.key);
        let answer: EntryOwnerResponse = client.get(&path).await?;
        let former: Vec<&str> = answer.former.iter().map(UpstreamName::as_str).collect();
        let table = Table::new(HEADINGS).with_row([
            answer.range.to_string(),
            answer.upstream.to_string(),
            answer.address.to_string(),
            answer.fence.to_string(),
            answer.is_believed.to_string(),
            former.join(" "),
            answer.knowledge_age_ms.to_string(),
        ]);
        Ok(Report::new(&answer, table))
    }
}
