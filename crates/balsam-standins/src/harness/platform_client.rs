//! Client of the platform.

use super::{Client, HarnessError};
use balsam_wire::platform::{
    COUNTERS_PATH, FAULTS_PATH, INSTANCES_PATH, InstanceBody, InstancesUpdate, PlatformCounters,
    PlatformFaults, READ_PATH, ReadRequest, ReadResponse, TX_PATH, TxRequest, TxResponse,
};
use serde::de::IgnoredAny;

/// The platform's interface and its test switches.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    client: Client,
}

impl PlatformClient {
    /// Makes a platform client over `client`.
    pub const fn new(client: Client) -> Self {
        Self { client }
    }

    /// Sends a transaction.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer with the result.
    pub async fn transact(&self, tx: &TxRequest) -> Result<TxResponse, HarnessError> {
        self.client.post_json(TX_PATH, tx).await
    }

    /// Reads rows.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer with the rows.
    pub async fn read(&self, read: &ReadRequest) -> Result<ReadResponse, HarnessError> {
        self.client.post_json(READ_PATH, read).await
    }

    /// Reads the instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer with the list.
    pub async fn instances(&self) -> Result<Vec<InstanceBody>, HarnessError> {
        self.client.get_json(INSTANCES_PATH).await
    }

    /// Changes the instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not confirm.
    pub async fn change_instances(&self, update: &InstancesUpdate) -> Result<(), HarnessError> {
        let _: IgnoredAny = self.client.post_json(INSTANCES_PATH, update).await?;
        Ok(())
    }

    /// Sets the fault switches.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not confirm.
    pub async fn set_faults(&self, faults: &PlatformFaults) -> Result<(), HarnessError> {
        let _: IgnoredAny = self.client.post_json(FAULTS_PATH, faults).await?;
        Ok(())
    }

    /// Reads the counters.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn counters(&self) -> Result<PlatformCounters, HarnessError> {
        self.client.get_json(COUNTERS_PATH).await
    }
}
