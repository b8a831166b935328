//! Client of one upstream, which stands in for a dispatcher.

use super::{Answer, Client, HarnessError, Sent};
use awc::http::Method;
use balsam_decide::grants::{Grant, GrantReply, GrantUnits, GrantedUnits, Revoke, RevokeReply};
use balsam_types::{Epoch, Incarnation, ServiceName, TimeMs, UnitId};
use balsam_wire::upstream::{
    DRAIN_PATH, DrainResponse, FAULTS_PATH, GRANT_PATH, GrantRequest, GrantResponse, HEALTH_PATH,
    HealthResponse, JOURNAL_PATH, JournalResponse, LOAD_PATH, LoadResponse, REVOKE_PATH,
    RevokeRequest, RevokeResponse, UpstreamFaults, headers,
};
use bytes::Bytes;
use std::sync::Arc;

/// A work request as a dispatcher sends it.
#[derive(Clone, Debug)]
pub struct Work {
    /// The path.
    pub path: String,
    /// The method.
    pub method: Method,
    /// The key.
    pub key: String,
    /// The unit that the key is located in.
    pub unit: UnitId,
    /// The sender's control epoch.
    pub epoch: Epoch,
    /// The rank.
    pub rank: String,
    /// The time the caller still waits, in milliseconds.
    pub remaining_ms: u64,
    /// The order id.
    pub order_id: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl Work {
    /// Makes a read of `key` in rank `lookup`.
    pub fn lookup(key: impl Into<String>, unit: UnitId, epoch: Epoch) -> Self {
        let key = key.into();
        Self {
            path: format!("/lookup/{key}"),
            method: Method::GET,
            key,
            unit,
            epoch,
            rank: "lookup".to_owned(),
            remaining_ms: 5_000,
            order_id: None,
            body: Bytes::new(),
        }
    }

    /// Makes a read of `key` in rank `download`.
    pub fn download(key: impl Into<String>, unit: UnitId, epoch: Epoch) -> Self {
        Self::lookup(key, unit, epoch).with_rank("download")
    }

    /// Makes an order on `key` in rank `order`.
    pub fn order(
        key: impl Into<String>,
        id: impl Into<String>,
        unit: UnitId,
        epoch: Epoch,
    ) -> Self {
        Self {
            method: Method::POST,
            order_id: Some(id.into()),
            ..Self::lookup(key, unit, epoch).with_rank("order")
        }
    }

    /// Sets the rank.
    #[must_use]
    pub fn with_rank(mut self, rank: &str) -> Self {
        rank.clone_into(&mut self.rank);
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the time the caller still waits, in milliseconds.
    #[must_use]
    pub const fn with_remaining_ms(mut self, remaining_ms: u64) -> Self {
        self.remaining_ms = remaining_ms;
        self
    }

    /// Turns the work into a request, to which a test may add header fields.
    pub fn into_sent(self) -> Sent {
        let sent = Sent::new(self.method, self.path)
            .with_header(headers::KEY, self.key)
            .with_header(headers::UNIT, self.unit)
            .with_header(headers::EPOCH, self.epoch)
            .with_header(headers::RANK, self.rank)
            .with_header(headers::DEADLINE_MS, self.remaining_ms)
            .with_body(self.body);
        match self.order_id {
            Some(id) => sent.with_header(headers::IDEMPOTENCY_KEY, id),
            None => sent,
        }
    }
}

/// The control and work interface of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    client: Client,
    service: ServiceName,
}

impl UpstreamClient {
    /// Makes an upstream client over `client`.
    pub const fn new(client: Client, service: ServiceName) -> Self {
        Self { client, service }
    }

    /// Returns the HTTP client.
    pub const fn client(&self) -> &Client {
        &self.client
    }

    /// Sends work.
    ///
    /// # Errors
    ///
    /// Returns an error if no response head arrives.
    pub async fn work(&self, work: Work) -> Result<Answer, HarnessError> {
        self.client.send(work.into_sent()).await
    }

    /// Sends a grant.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream does not answer.
    pub async fn grant(&self, grant: Grant) -> Result<GrantReply, HarnessError> {
        let request = GrantRequest::from(grant);
        let response: GrantResponse = self.client.post_json(GRANT_PATH, &request).await?;
        Ok(response.into())
    }

    /// Asks for incarnation and clock.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream does not answer.
    pub async fn clock(&self) -> Result<GrantReply, HarnessError> {
        let units = Arc::default();
        self.grant(self.make_grant(None, Epoch(0), units, TimeMs(0)))
            .await
    }

    /// Grants `owned` for `ttl_ms` from the upstream's present time, fenced by `epoch`.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream does not answer.
    pub async fn grant_units(
        &self,
        epoch: Epoch,
        owned: impl IntoIterator<Item = UnitId>,
        ttl_ms: u64,
    ) -> Result<GrantReply, HarnessError> {
        let clock = self.clock().await?;
        let units = GrantedUnits {
            owned: owned.into_iter().collect(),
            ..GrantedUnits::default()
        };
        let expires_at_ms = clock.clock_ms.after(ttl_ms);
        let incarnation = Some(clock.incarnation);
        self.grant(self.make_grant(incarnation, epoch, Arc::new(units), expires_at_ms))
            .await
    }

    /// Takes units away.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream does not answer.
    pub async fn revoke(&self, revoke: Revoke) -> Result<RevokeReply, HarnessError> {
        let request = RevokeRequest::from(revoke);
        let response: RevokeResponse = self.client.post_json(REVOKE_PATH, &request).await?;
        Ok(response.into())
    }

    /// Reads the journal.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream does not answer.
    pub async fn journal(&self) -> Result<JournalResponse, HarnessError> {
        self.client.get_json(JOURNAL_PATH).await
    }

    /// Reads the health report.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream does not answer.
    pub async fn health(&self) -> Result<HealthResponse, HarnessError> {
        self.client.get_json(HEALTH_PATH).await
    }

    /// Reads the load report.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream does not answer.
    pub async fn load(&self) -> Result<LoadResponse, HarnessError> {
        self.client.get_json(LOAD_PATH).await
    }

    /// Starts a drain.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream does not answer.
    pub async fn drain(&self) -> Result<DrainResponse, HarnessError> {
        self.client.post_json(DRAIN_PATH, &()).await
    }

    /// Sets the fault switches.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream does not confirm.
    pub async fn set_faults(&self, faults: &UpstreamFaults) -> Result<(), HarnessError> {
        let _: UpstreamFaults = self.client.post_json(FAULTS_PATH, faults).await?;
        Ok(())
    }

    fn make_grant(
        &self,
        incarnation: Option<Incarnation>,
        epoch: Epoch,
        units: Arc<GrantedUnits>,
        expires_at_ms: TimeMs,
    ) -> Grant {
        Grant {
            service: self.service.clone(),
            incarnation,
            epoch,
            fence_epoch: epoch,
            units: GrantUnits::Full(units),
            expires_at_ms,
        }
    }
}
