//! `balsamctl zone create ZONE [--region REGION]`.

use crate::{Client, CtlError, Report};
use balsam_types::settings::{NodeEdit, NodePath, SettingKey, SettingValue};
use balsam_types::{Epoch, RegionName, ZoneName};
use clap::Args;

/// Creates an availability zone.
#[derive(Debug, Args)]
pub struct ZoneCreate {
    /// The zone.
    zone: ZoneName,
    /// The region that the zone belongs to.
    #[arg(long)]
    region: Option<RegionName>,
    /// Wait until the zone is in force at every daemon.
    #[arg(long)]
    wait: bool,
}

impl ZoneCreate {
    /// Carries out the command.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn run(self, client: &Client) -> Result<Report, CtlError> {
        let subject = format!("zone {}", self.zone);
        let mut edit = NodeEdit::new(NodePath::Zone(self.zone), Epoch(0));
        if let Some(region) = self.region {
            let value = SettingValue::Text(region.as_str().into());
            edit = edit.with_value(SettingKey::Region, value);
        }
        let answer = client.edit(edit, self.wait).await?;
        Ok(Report::of_change(subject, &answer))
    }
}
