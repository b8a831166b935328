//! A client of the upstreams' control interface, which uses HTTP and JSON.

use super::upstream::{BodySnafu, ExchangeError, JsonSnafu, SendSnafu, StatusSnafu, TimeoutSnafu};
use super::{UpstreamControl, UpstreamControlError};
use awc::{Client, Connector};
use balsam_decide::grants::{Grant, GrantReply, Revoke, RevokeReply};
use balsam_wire::upstream::{
    GRANT_PATH, GrantRequest, GrantResponse, REVOKE_PATH, RevokeRequest, RevokeResponse,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// The largest number of open connections to all upstreams together.
///
/// Control requests have connections of their own, so that heavy request traffic does not delay
/// grants.
const MAX_CONNECTIONS: usize = 256;

/// The largest accepted response body in bytes.
const RESPONSE_MAX_BYTES: usize = 64 << 10;

/// An [`UpstreamControl`] that reaches every upstream over HTTP.
#[derive(Clone)]
pub struct HttpUpstreamControl {
    client: Client,
}

impl std::fmt::Debug for HttpUpstreamControl {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("HttpUpstreamControl")
    }
}

impl Default for HttpUpstreamControl {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpUpstreamControl {
    /// Creates a client, which connects to each upstream on first use.
    pub fn new() -> Self {
        let client = Client::builder()
            .connector(Connector::new().limit(MAX_CONNECTIONS))
            .disable_redirects()
            .disable_timeout()
            .finish();
        Self { client }
    }

    async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Q,
        time_limit: Duration,
    ) -> Result<A, UpstreamControlError> {
        let wait_ms = time_limit.as_millis();
        match timeout(time_limit, self.exchange(address, path, body)).await {
            Ok(Ok(response_body)) => Ok(response_body),
            Ok(Err(source)) => Err(UpstreamControlError::Transport { address, source }),
            Err(_) => TimeoutSnafu { address, wait_ms }.fail(),
        }
    }

    async fn exchange<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Q,
    ) -> Result<A, ExchangeError> {
        let request = self.client.post(format!("http://{address}{path}"));
        let mut response = request.send_json(body).await.context(SendSnafu)?;
        let status = response.status();
        ensure!(
            status.is_success(),
            StatusSnafu {
                status: status.as_u16()
            }
        );
        let body = response.body().limit(RESPONSE_MAX_BYTES).await;
        serde_json::from_slice(&body.context(BodySnafu)?).context(JsonSnafu)
    }
}

impl UpstreamControl for HttpUpstreamControl {
    async fn grant(
        &self,
        address: SocketAddr,
        grant: Grant,
        time_limit: Duration,
    ) -> Result<GrantReply, UpstreamControlError> {
        let body = GrantRequest::from(grant);
        let response_body: GrantResponse =
            self.post(address, GRANT_PATH, &body, time_limit).await?;
        Ok(response_body.into())
    }

    async fn revoke(
        &self,
        address: SocketAddr,
        revoke: Revoke,
        time_limit: Duration,
    ) -> Result<RevokeReply, UpstreamControlError> {
        let body = RevokeRequest::from(revoke);
        let response_body: RevokeResponse =
            self.post(address, REVOKE_PATH, &body, time_limit).await?;
        Ok(response_body.into())
    }
}
