//! A client of the platform's HTTP and JSON interface.

use super::platform::{MalformedSnafu, StatusSnafu, TimeoutSnafu, TransportSnafu};
use super::{Platform, PlatformError};
use awc::{Client, Connector};
use balsam_types::control::Instance;
use balsam_wire::platform::{
    INSTANCES_PATH, InstanceBody, OBJECTS_PATH, READ_PATH, ReadRequest, ReadResponse, TX_PATH,
    TxRequest, TxResponse,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// The largest number of open connections to the platform.
const MAX_CONNECTIONS: usize = 16;

/// The largest accepted response body in bytes, which leaves room for the snapshot of a large
/// deployment.
const RESPONSE_MAX_BYTES: usize = 256 << 20;

/// A [`Platform`] that is reached over HTTP at one address.
#[derive(Clone)]
pub struct HttpPlatform {
    client: Client,
    base_url: String,
}

impl std::fmt::Debug for HttpPlatform {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("HttpPlatform").field(&self.base_url).finish()
    }
}

impl HttpPlatform {
    /// Creates a client of the platform at `address`, which connects on first use.
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder()
            .connector(Connector::new().limit(MAX_CONNECTIONS))
            .disable_redirects()
            .disable_timeout()
            .finish();
        let base_url = format!("http://{address}");
        Self { client, base_url }
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base_url)
    }

    async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        body: &Q,
        time_limit: Duration,
    ) -> Result<A, PlatformError> {
        let request = self.client.post(self.url(path)).send_json(body);
        let response_body = with_timeout(time_limit, receive_body(request)).await?;
        parse_json(path, &response_body)
    }
}

impl Platform for HttpPlatform {
    async fn read(
        &self,
        request: &ReadRequest,
        time_limit: Duration,
    ) -> Result<ReadResponse, PlatformError> {
        self.post(READ_PATH, request, time_limit).await
    }

    async fn transact(
        &self,
        request: &TxRequest,
        time_limit: Duration,
    ) -> Result<TxResponse, PlatformError> {
        self.post(TX_PATH, request, time_limit).await
    }

    async fn put_object(
        &self,
        name: &str,
        content: Vec<u8>,
        time_limit: Duration,
    ) -> Result<(), PlatformError> {
        let url = self.url(OBJECTS_PATH) + name;
        let request = self.client.put(url).send_body(content);
        with_timeout(time_limit, receive_body(request)).await?;
        Ok(())
    }

    async fn get_object(&self, name: &str, time_limit: Duration) -> Result<Vec<u8>, PlatformError> {
        let url = self.url(OBJECTS_PATH) + name;
        with_timeout(time_limit, receive_body(self.client.get(url).send())).await
    }

    async fn instances(&self, time_limit: Duration) -> Result<Vec<Instance>, PlatformError> {
        let request = self.client.get(self.url(INSTANCES_PATH)).send();
        let response_body = with_timeout(time_limit, receive_body(request)).await?;
        let bodies: Vec<InstanceBody> = parse_json(INSTANCES_PATH, &response_body)?;
        Ok(bodies.into_iter().map(Into::into).collect())
    }
}

async fn with_timeout<T>(
    time_limit: Duration,
    exchange: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    let wait_ms = time_limit.as_millis();
    match timeout(time_limit, exchange).await {
        Ok(result) => result,
        Err(_) => TimeoutSnafu { wait_ms }.fail(),
    }
}

async fn receive_body(request: awc::SendClientRequest) -> Result<Vec<u8>, PlatformError> {
    let transport_error = |detail: String| TransportSnafu { detail }.build();
    let mut response = request
        .await
        .map_err(|error| transport_error(error.to_string()))?;
    let status = response.status();
    ensure!(
        status.is_success(),
        StatusSnafu {
            status: status.as_u16()
        }
    );
    let body = response.body().limit(RESPONSE_MAX_BYTES).await;
    let body = body.map_err(|error| transport_error(error.to_string()))?;
    Ok(body.to_vec())
}

fn parse_json<A: DeserializeOwned>(
    subject: &str,
    response_body: &[u8],
) -> Result<A, PlatformError> {
    serde_json::from_slice(response_body).context(MalformedSnafu { subject })
}
