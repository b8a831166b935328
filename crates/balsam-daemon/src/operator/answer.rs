//! Answers as HTTP responses.

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, HeaderValue, WWW_AUTHENTICATE};
use actix_http::{Response, StatusCode};
use balsam_wire::operator::{CommandResponse, CommandState, ErrorCode, ErrorResponse};
use serde::Serialize;

/// Answers with the JSON form of `body`.
pub(super) fn json(status: StatusCode, body: &impl Serialize) -> Response<BoxBody> {
    match serde_json::to_vec(body) {
        Ok(bytes) => typed(status, "application/json", bytes),
        Err(error) => {
            log::error!("operator answer: {error}");
            Response::new(StatusCode::INTERNAL_SERVER_ERROR).map_into_boxed_body()
        }
    }
}

/// Answers with what was read.
pub(super) fn found(body: &impl Serialize) -> Response<BoxBody> {
    json(StatusCode::OK, body)
}

/// Answers a command; a change that is not yet in force is answered with 202.
pub(super) fn command(response: &CommandResponse) -> Response<BoxBody> {
    let status = match response.state {
        CommandState::Accepted => StatusCode::OK,
        CommandState::Pending => StatusCode::ACCEPTED,
    };
    json(status, response)
}

/// Answers with metrics text.
pub(super) fn metrics(text: String) -> Response<BoxBody> {
    typed(
        StatusCode::OK,
        "text/plain; version=0.0.4",
        text.into_bytes(),
    )
}

/// Answers with a refusal.
pub(super) fn refused(error: &ErrorResponse) -> Response<BoxBody> {
    let status = StatusCode::from_u16(error.code.status()).unwrap_or(StatusCode::BAD_REQUEST);
    let mut response = json(status, error);
    if error.code == ErrorCode::BadCredential {
        let scheme = HeaderValue::from_static("Bearer");
        response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
    }
    response
}

fn typed(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Response<BoxBody> {
    let mut response = Response::new(status).set_body(BoxBody::new(body));
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
