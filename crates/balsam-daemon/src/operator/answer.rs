//! HTTP responses of the operator listener.

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, HeaderValue, WWW_AUTHENTICATE};
use actix_http::{Response, StatusCode};
use balsam_wire::operator::{CommandResponse, CommandState, ErrorCode, ErrorResponse};
use serde::Serialize;

/// Builds a response with `body` as JSON.
pub(super) fn json(status: StatusCode, body: &impl Serialize) -> Response<BoxBody> {
    match serde_json::to_vec(body) {
        Ok(bytes) => with_content_type(status, "application/json", bytes),
        Err(error) => {
            log::error!("cannot encode an operator response: {error}");
            Response::new(StatusCode::INTERNAL_SERVER_ERROR).map_into_boxed_body()
        }
    }
}

/// Builds the response to a request that only reads.
pub(super) fn ok_json(body: &impl Serialize) -> Response<BoxBody> {
    json(StatusCode::OK, body)
}

/// Builds the response to a command; its status is 202 if the change is not yet in force.
pub(super) fn command(response: &CommandResponse) -> Response<BoxBody> {
    let status = match response.state {
        CommandState::Accepted => StatusCode::OK,
        CommandState::Pending => StatusCode::ACCEPTED,
    };
    json(status, response)
}

/// Builds the response with the metrics, in the Prometheus text format.
pub(super) fn metrics(text: String) -> Response<BoxBody> {
    with_content_type(
        StatusCode::OK,
        "text/plain; version=0.0.4",
        text.into_bytes(),
    )
}

/// Builds the response that refuses a request.
pub(super) fn refusal(error: &ErrorResponse) -> Response<BoxBody> {
    let status = StatusCode::from_u16(error.code.status()).unwrap_or(StatusCode::BAD_REQUEST);
    let mut response = json(status, error);
    if error.code == ErrorCode::BadCredential {
        let scheme = HeaderValue::from_static("Bearer");
        response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
    }
    response
}

fn with_content_type(
    status: StatusCode,
    content_type: &'static str,
    body: Vec<u8>,
) -> Response<BoxBody> {
    let mut response = Response::new(status).set_body(BoxBody::new(body));
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
