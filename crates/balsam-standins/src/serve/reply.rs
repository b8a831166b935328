//! Answers of the stand-ins.

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt::Display;

/// The body of an error answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong.
    pub error: String,
}

/// Answers with JSON.
pub fn json_reply(status: StatusCode, body: &impl Serialize) -> Response<BoxBody> {
    match serde_json::to_vec(body) {
        Ok(bytes) => typed(status, "application/json", bytes.into()),
        Err(error) => typed(
            StatusCode::INTERNAL_SERVER_ERROR,
            "text/plain",
            error.to_string().into(),
        ),
    }
}

/// Answers with bytes.
pub fn bytes_reply(bytes: Bytes) -> Response<BoxBody> {
    typed(StatusCode::OK, "application/octet-stream", bytes)
}

/// Answers with an error.
pub fn error_reply(status: StatusCode, error: impl Display) -> Response<BoxBody> {
    let body = ErrorBody {
        error: error.to_string(),
    };
    json_reply(status, &body)
}

/// Answers that the request is malformed.
pub fn bad_request(error: impl Display) -> Response<BoxBody> {
    error_reply(StatusCode::BAD_REQUEST, error)
}

/// Answers that the server is out of service.
pub fn unavailable(error: impl Display) -> Response<BoxBody> {
    error_reply(StatusCode::SERVICE_UNAVAILABLE, error)
}

fn typed(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<BoxBody> {
    let mut response = Response::new(status).set_body(BoxBody::new(body));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
