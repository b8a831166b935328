//! Request bodies.

use actix_http::Request;
use actix_http::error::PayloadError;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

/// A request body that cannot be used.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The connection broke before the end of the body.
    #[snafu(display("body: {source}"))]
    Incomplete {
        /// What broke.
        source: PayloadError,
    },
    /// The body is too large.
    #[snafu(display("body: more than {max_bytes} bytes (accepted: 0 to {max_bytes})"))]
    TooLarge {
        /// The largest accepted size.
        max_bytes: usize,
    },
    /// The body is not the expected JSON.
    #[snafu(display("body: {source}"))]
    Json {
        /// What is wrong.
        source: serde_json::Error,
    },
}

/// Reads the whole body of `request`, up to `max_bytes`.
///
/// # Errors
///
/// Returns a [`BodyError`] if the body is cut short or too large.
pub async fn read_body(request: &mut Request, max_bytes: usize) -> Result<Bytes, BodyError> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.context(IncompleteSnafu)?;
        ensure!(
            body.len() + chunk.len() <= max_bytes,
            TooLargeSnafu { max_bytes }
        );
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Reads the body of `request` as JSON.
///
/// # Errors
///
/// Returns a [`BodyError`] if the body is cut short, too large or not valid.
pub async fn read_json<T>(request: &mut Request, max_bytes: usize) -> Result<T, BodyError>
where
    T: DeserializeOwned,
{
    let body = read_body(request, max_bytes).await?;
    serde_json::from_slice(&body).context(JsonSnafu)
}
