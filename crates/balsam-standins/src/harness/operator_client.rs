//! Client of a daemon's operator listener.

use super::{Client, HarnessError, Sent};
use balsam_types::settings::NodeEdit;
use balsam_types::{ServiceName, UpstreamName};
use balsam_wire::operator::{
    CommandResponse, DAEMONS_PATH, DRAIN_SUFFIX, DaemonsResponse, DrainRequest, EDIT_PATH,
    EPOCHS_PATH, EditRequest, EpochsResponse, METRICS_PATH, OWNER_PATH, OwnerResponse,
    SETTINGS_PATH, SettingsResponse, UPSTREAMS_PATH, UpstreamsResponse,
};

/// The operators' interface of one daemon.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    client: Client,
}

impl OperatorClient {
    /// Makes an operator client over `client`, which must present the credential.
    pub const fn new(client: Client) -> Self {
        Self { client }
    }

    /// Edits settings; with `wait`, returns once the edit is in force everywhere.
    ///
    /// # Errors
    ///
    /// Returns an error if the edit is refused, pending or not answered.
    pub async fn edit(
        &self,
        edits: Vec<NodeEdit>,
        wait: bool,
    ) -> Result<CommandResponse, HarnessError> {
        let edits = edits.into_iter().map(Into::into).collect();
        let request = EditRequest { edits, wait };
        self.client.post_json(EDIT_PATH, &request).await
    }

    /// Drains an upstream, or takes the drain back.
    ///
    /// # Errors
    ///
    /// Returns an error if the command is refused, pending or not answered.
    pub async fn drain(
        &self,
        upstream: &UpstreamName,
        drain: bool,
    ) -> Result<CommandResponse, HarnessError> {
        let path = format!("{UPSTREAMS_PATH}/{upstream}{DRAIN_SUFFIX}");
        self.client.post_json(&path, &DrainRequest { drain }).await
    }

    /// Finds the owner of a key.
    ///
    /// # Errors
    ///
    /// Returns an error if the service is unknown or there is no answer.
    pub async fn owner(
        &self,
        service: &ServiceName,
        key: &str,
    ) -> Result<OwnerResponse, HarnessError> {
        let path = format!("{OWNER_PATH}?service={service}&key={key}");
        self.client.get_json(&path).await
    }

    /// Reads the settings tree.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer.
    pub async fn settings(&self) -> Result<SettingsResponse, HarnessError> {
        self.client.get_json(SETTINGS_PATH).await
    }

    /// Lists the upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer.
    pub async fn upstreams(&self) -> Result<UpstreamsResponse, HarnessError> {
        self.client.get_json(UPSTREAMS_PATH).await
    }

    /// Lists the roster.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer.
    pub async fn daemons(&self) -> Result<DaemonsResponse, HarnessError> {
        self.client.get_json(DAEMONS_PATH).await
    }

    /// Lists the adopted epochs.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer.
    pub async fn epochs(&self) -> Result<EpochsResponse, HarnessError> {
        self.client.get_json(EPOCHS_PATH).await
    }

    /// Reads the metrics text.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer.
    pub async fn metrics(&self) -> Result<String, HarnessError> {
        let answer = self.client.send(Sent::get(METRICS_PATH)).await?;
        Ok(answer.text())
    }
}
