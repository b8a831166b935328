//! The HTTP client of one daemon's operator listener.

use crate::CtlError;
use crate::error::{BadAnswerSnafu, RefusedSnafu, UnreachableSnafu};
use awc::ClientRequest;
use awc::http::Method;
use awc::http::header::AUTHORIZATION;
use balsam_types::settings::{NodeEdit, NodePath};
use balsam_wire::operator::{
    CommandResponse, EDIT_PATH, EXPLAIN_PATH, EditRequest, ErrorResponse, ExplainResponse,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// The largest accepted answer in bytes.
const ANSWER_MAX_BYTES: usize = 64 << 20;

/// A client of one daemon.
pub struct Client {
    inner: awc::Client,
    server: SocketAddr,
    credential: String,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Client").field(&self.server).finish()
    }
}

impl Client {
    /// Makes a client of the daemon at `server`.
    pub fn new(server: SocketAddr, credential: impl Into<String>, timeout: Duration) -> Self {
        let inner = awc::Client::builder()
            .timeout(timeout)
            .disable_redirects()
            .finish();
        Self {
            inner,
            server,
            credential: credential.into(),
        }
    }

    /// Reads `path`.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        self.exchange(self.request(Method::GET, path).send()).await
    }

    /// Sends `body` to `path`.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CtlError> {
        self.exchange(self.request(Method::POST, path).send_json(body))
            .await
    }

    /// Deletes `path`.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn delete<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        self.exchange(self.request(Method::DELETE, path).send())
            .await
    }

    /// Reads the values in effect at `path`.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn explain(
        &self,
        path: &NodePath,
        key: Option<&str>,
    ) -> Result<ExplainResponse, CtlError> {
        let mut target = format!("{EXPLAIN_PATH}?path={}", encode(&path.to_string()));
        if let Some(key) = key {
            target = format!("{target}&key={}", encode(key));
        }
        self.get(&target).await
    }

    /// Edits one node.
    ///
    /// # Errors
    ///
    /// Returns a [`CtlError`] if the daemon does not answer or refuses.
    pub async fn edit(&self, edit: NodeEdit, wait: bool) -> Result<CommandResponse, CtlError> {
        let edits = vec![edit.into()];
        self.post(EDIT_PATH, &EditRequest { edits, wait }).await
    }

    fn request(&self, method: Method, path: &str) -> ClientRequest {
        let url = format!("http://{}{path}", self.server);
        let credential = format!("Bearer {}", self.credential);
        self.inner
            .request(method, url)
            .insert_header((AUTHORIZATION, credential))
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        request: awc::SendClientRequest,
    ) -> Result<T, CtlError> {
        let server = self.server;
        let unreachable = |detail: String| UnreachableSnafu { server, detail }.build();
        let mut response = request
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        let status = response.status();
        let body = response.body().limit(ANSWER_MAX_BYTES).await;
        let body = body.map_err(|error| unreachable(error.to_string()))?;
        let bad_answer = |_| {
            let status = status.as_u16();
            BadAnswerSnafu { server, status }.build()
        };
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(bad_answer);
        }
        let refusal: ErrorResponse = serde_json::from_slice(&body).map_err(bad_answer)?;
        RefusedSnafu { refusal }.fail()
    }
}

/// Percent-encodes `text` for a path segment or a query value.
pub(crate) fn encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'~') {
            encoded.push(char::from(byte));
        } else {
            // Writing to a string cannot fail.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}
