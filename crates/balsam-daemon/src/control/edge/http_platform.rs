//! The platform over HTTP and JSON.

use super::platform::{BrokenSnafu, MalformedSnafu, SilentSnafu, StatusSnafu};
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

/// Connections that are kept to the platform.
const CONNECTIONS: usize = 16;

/// The largest accepted answer in bytes; a snapshot of a large deployment fits.
const ANSWER_MAX_BYTES: usize = 256 << 20;

/// The platform at one address.
#[derive(Clone)]
pub struct HttpPlatform {
    client: Client,
    base: String,
}

impl std::fmt::Debug for HttpPlatform {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("HttpPlatform").field(&self.base).finish()
    }
}

impl HttpPlatform {
    /// Makes a client of the platform at `address`; it connects on first use.
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder()
            .connector(Connector::new().limit(CONNECTIONS))
            .disable_redirects()
            .disable_timeout()
            .finish();
        let base = format!("http://{address}");
        Self { client, base }
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        body: &Q,
        wait: Duration,
    ) -> Result<A, PlatformError> {
        let request = self.client.post(self.url(path)).send_json(body);
        let answer = within(wait, receive(request)).await?;
        parse(path, &answer)
    }
}

impl Platform for HttpPlatform {
    async fn read(
        &self,
        request: &ReadRequest,
        wait: Duration,
    ) -> Result<ReadResponse, PlatformError> {
        self.post(READ_PATH, request, wait).await
    }

    async fn transact(
        &self,
        request: &TxRequest,
        wait: Duration,
    ) -> Result<TxResponse, PlatformError> {
        self.post(TX_PATH, request, wait).await
    }

    async fn put_object(
        &self,
        name: &str,
        content: Vec<u8>,
        wait: Duration,
    ) -> Result<(), PlatformError> {
        let url = self.url(OBJECTS_PATH) + name;
        let request = self.client.put(url).send_body(content);
        within(wait, receive(request)).await?;
        Ok(())
    }

    async fn get_object(&self, name: &str, wait: Duration) -> Result<Vec<u8>, PlatformError> {
        let url = self.url(OBJECTS_PATH) + name;
        within(wait, receive(self.client.get(url).send())).await
    }

    async fn instances(&self, wait: Duration) -> Result<Vec<Instance>, PlatformError> {
        let request = self.client.get(self.url(INSTANCES_PATH)).send();
        let answer = within(wait, receive(request)).await?;
        let bodies: Vec<InstanceBody> = parse(INSTANCES_PATH, &answer)?;
        Ok(bodies.into_iter().map(Into::into).collect())
    }
}

async fn within<T>(
    wait: Duration,
    exchange: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    let wait_ms = wait.as_millis();
    match timeout(wait, exchange).await {
        Ok(result) => result,
        Err(_) => SilentSnafu { wait_ms }.fail(),
    }
}

async fn receive(request: awc::SendClientRequest) -> Result<Vec<u8>, PlatformError> {
    let broken = |detail: String| BrokenSnafu { detail }.build();
    let mut response = request.await.map_err(|error| broken(error.to_string()))?;
    let status = response.status();
    ensure!(
        status.is_success(),
        StatusSnafu {
            status: status.as_u16()
        }
    );
    let body = response.body().limit(ANSWER_MAX_BYTES).await;
    let body = body.map_err(|error| broken(error.to_string()))?;
    Ok(body.to_vec())
}

fn parse<A: DeserializeOwned>(subject: &str, answer: &[u8]) -> Result<A, PlatformError> {
    serde_json::from_slice(answer).context(MalformedSnafu { subject })
}
