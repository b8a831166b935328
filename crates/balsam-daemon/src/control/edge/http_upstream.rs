//! The upstreams' control interface over HTTP and JSON.

use super::upstream::{BodySnafu, ExchangeError, JsonSnafu, SendSnafu, SilentSnafu, StatusSnafu};
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

/// Connections to all upstreams together; they are apart from those for work, so that a flood of
/// work does not delay grants.
const CONNECTIONS: usize = 256;

/// The largest accepted answer in bytes.
const ANSWER_MAX_BYTES: usize = 64 << 10;

/// A client of every upstream's control interface.
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
    /// Makes a client; it connects to each upstream on first use.
    pub fn new() -> Self {
        let client = Client::builder()
            .connector(Connector::new().limit(CONNECTIONS))
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
        wait: Duration,
    ) -> Result<A, UpstreamControlError> {
        let wait_ms = wait.as_millis();
        match timeout(wait, self.exchange(address, path, body)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(source)) => Err(UpstreamControlError::Broken { address, source }),
            Err(_) => SilentSnafu { address, wait_ms }.fail(),
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
        let body = response.body().limit(ANSWER_MAX_BYTES).await;
        serde_json::from_slice(&body.context(BodySnafu)?).context(JsonSnafu)
    }
}

impl UpstreamControl for HttpUpstreamControl {
    async fn grant(
        &self,
        address: SocketAddr,
        grant: Grant,
        wait: Duration,
    ) -> Result<GrantReply, UpstreamControlError> {
        let body = GrantRequest::from(grant);
        let answer: GrantResponse = self.post(address, GRANT_PATH, &body, wait).await?;
        Ok(answer.into())
    }

    async fn revoke(
        &self,
        address: SocketAddr,
        revoke: Revoke,
        wait: Duration,
    ) -> Result<RevokeReply, UpstreamControlError> {
        let body = RevokeRequest::from(revoke);
        let answer: RevokeResponse = self.post(address, REVOKE_PATH, &body, wait).await?;
        Ok(answer.into())
    }
}
