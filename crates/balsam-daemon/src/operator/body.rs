//! Reading of request bodies.

use actix_http::Request;
use balsam_wire::operator::ErrorResponse;
use bytes::BytesMut;
use futures_util::StreamExt;
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::time::timeout;

/// The largest accepted body in bytes, which has room for an edit of a thousand settings nodes.
const BODY_MAX_BYTES: usize = 256 << 10;

/// The time limit for receiving a complete body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads the body of `request` as JSON.
pub(super) async fn read_json<T: DeserializeOwned>(
    request: &mut Request,
) -> Result<T, ErrorResponse> {
    let read = timeout(BODY_TIMEOUT, read_bytes(request)).await;
    let bytes = read.map_err(|_| {
        let accepted = format!("a whole body within {} ms", BODY_TIMEOUT.as_millis());
        ErrorResponse::bad_field("body", "(incomplete)", accepted)
    })??;
    serde_json::from_slice(&bytes)
        .map_err(|error| ErrorResponse::bad_field("body", error.to_string(), "the documented JSON"))
}

async fn read_bytes(request: &mut Request) -> Result<BytesMut, ErrorResponse> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk
            .map_err(|error| ErrorResponse::bad_field("body", error.to_string(), "a whole body"))?;
        let new_length = body.len() + chunk.len();
        if new_length > BODY_MAX_BYTES {
            let value = format!("more than {BODY_MAX_BYTES} bytes");
            let accepted = format!("0 to {BODY_MAX_BYTES} bytes");
            return Err(ErrorResponse::bad_field("body", value, accepted));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}
