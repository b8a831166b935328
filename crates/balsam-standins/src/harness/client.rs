//! A small HTTP client.

use super::HarnessError;
use super::error::{JsonSnafu, StatusSnafu};
use awc::http::Method;
use awc::http::header::{CONTENT_LENGTH, HeaderMap};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Open connections of a client without another limit.
const CONNECTIONS: usize = 100;

/// A request as the client sends it.
#[derive(Clone, Debug)]
pub struct Sent {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
}

impl Sent {
    /// Makes a request without headers and body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Makes a `GET` request.
    pub fn get(path: impl Into<String>) -> Self {
        Self::new(Method::GET, path)
    }

    /// Makes a `POST` request.
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self::new(Method::POST, path).with_body(body)
    }

    /// Adds a header field.
    #[must_use]
    pub fn with_header(mut self, name: impl Into<String>, value: impl std::fmt::Display) -> Self {
        self.headers.push((name.into(), value.to_string()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }
}

/// An answer; `complete` tells whether its body arrived whole.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub headers: HeaderMap,
    /// The body, as far as it arrived.
    pub body: Bytes,
    /// Whether the body arrived whole.
    pub complete: bool,
}

impl Answer {
    /// Returns the text of a header field.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A client of one server.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    inner: awc::Client,
    bearer: Option<Arc<str>>,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Client {
    /// Makes a client that gives up on a request after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self::with_connections(address, timeout, CONNECTIONS)
    }

    /// Makes a client that opens at most `connections` connections; further requests wait.
    pub fn with_connections(address: SocketAddr, timeout: Duration, connections: usize) -> Self {
        // A request that waits for a connection must be ended by its own timeout only.
        let connector = awc::Connector::new().limit(connections).timeout(timeout);
        let inner = awc::Client::builder()
            .connector(connector)
            .timeout(timeout)
            .disable_redirects()
            .finish();
        Self {
            address,
            timeout,
            inner,
            bearer: None,
        }
    }

    /// Presents a bearer credential with each request.
    #[must_use]
    pub fn with_bearer(mut self, credential: &str) -> Self {
        self.bearer = Some(Arc::from(credential));
        self
    }

    /// Returns the server's address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and reads the answer as far as it arrives.
    ///
    /// # Errors
    ///
    /// Returns an error if no response head arrives in time.
    pub async fn send(&self, sent: Sent) -> Result<Answer, HarnessError> {
        let url = format!("http://{}{}", self.address, sent.path);
        let mut request = self.inner.request(sent.method.clone(), &url);
        if let Some(bearer) = &self.bearer {
            request = request.bearer_auth(bearer);
        }
        for (name, value) in sent.headers {
            request = request.append_header((name, value));
        }
        let sending = request.send_body(sent.body);
        let mut response = sending.await.map_err(|error| HarnessError::NoAnswer {
            method: sent.method.to_string(),
            url: url.clone(),
            reason: error.to_string(),
        })?;
        let mut body = BytesMut::new();
        let mut complete = true;
        let reading = async {
            while let Some(chunk) = response.next().await {
                match chunk {
                    Ok(chunk) => body.extend_from_slice(&chunk),
                    Err(_) => return false,
                }
            }
            true
        };
        match actix_rt::time::timeout(self.timeout, reading).await {
            Ok(whole) => complete &= whole,
            Err(_) => complete = false,
        }
        let headers = response.headers().clone();
        // The client library reports a connection that closes early as the end of the body.
        complete &= announced_length(&headers).is_none_or(|length| length == body.len());
        Ok(Answer {
            status: response.status().as_u16(),
            headers,
            body: body.freeze(),
            complete,
        })
    }

    /// Gets JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer, or none of status 200 with the expected JSON.
    pub async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, HarnessError> {
        self.exchange(Sent::get(path)).await
    }

    /// Posts JSON and reads the answer as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer, or none of status 200 with the expected JSON.
    pub async fn post_json<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, HarnessError> {
        let body = serde_json::to_vec(body).context(JsonSnafu { url: path })?;
        let sent = Sent::post(path, body).with_header("content-type", "application/json");
        self.exchange(sent).await
    }

    async fn exchange<T: DeserializeOwned>(&self, sent: Sent) -> Result<T, HarnessError> {
        let method = sent.method.to_string();
        let url = format!("http://{}{}", self.address, sent.path);
        let answer = self.send(sent).await?;
        ensure!(
            answer.status == 200 && answer.complete,
            StatusSnafu {
                method,
                url,
                status: answer.status,
                body: answer.text()
            }
        );
        serde_json::from_slice(&answer.body).context(JsonSnafu { url })
    }
}

fn announced_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
