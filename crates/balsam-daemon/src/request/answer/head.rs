//! Response heads for callers.

use super::AnswerBody;
use actix_http::body::BodySize;
use actix_http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use actix_http::{Response, StatusCode};
use balsam_types::{NotRunReason, Outcome, ResponseHead, UnknownReason, UpstreamName};
use balsam_wire::upstream::headers;
use bytes::Bytes;
use serde::Serialize;

/// The JSON body of a response to a request without an upstream's answer.
#[derive(Serialize)]
struct FailureBody {
    outcome: &'static str,
    reason: &'static str,
}

/// Creates the response that forwards an upstream's answer.
pub(crate) fn answer_response(
    head: &ResponseHead,
    upstream: &UpstreamName,
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut response = Response::with_body(status(head.status), body);
    copy_fields(&mut response, head);
    insert_field(&mut response, headers::UPSTREAM, upstream.as_str());
    response
}

/// Returns the size to state in the head of a response without a body, or `None` if the response
/// has a body.
pub(crate) fn bodiless_size(method: &str, head: &ResponseHead) -> Option<BodySize> {
    match (head.status, head.body_length_bytes) {
        (204 | 304, _) => Some(BodySize::None),
        (_, Some(0)) => Some(BodySize::Sized(0)),
        (_, Some(length_bytes)) if method == "HEAD" => Some(BodySize::Sized(length_bytes)),
        (_, None) if method == "HEAD" => Some(BodySize::Stream),
        _ => None,
    }
}

/// Creates the response that replays the recorded answer of an order.
pub(crate) fn recorded_response(head: &ResponseHead, body: Vec<u8>) -> Response<AnswerBody> {
    let body = AnswerBody::Buffered(Some(Bytes::from(body)));
    let mut response = Response::with_body(status(head.status), body);
    copy_fields(&mut response, head);
    response
}

fn copy_fields(response: &mut Response<AnswerBody>, head: &ResponseHead) {
    for field in &head.headers {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    insert_field(response, headers::OUTCOME, "answered");
}

/// Creates the response to a request that ended without an upstream's answer.
pub(crate) fn failure_response(outcome: Outcome) -> Response<AnswerBody> {
    let (code, name, reason) = match outcome {
        Outcome::NotRun(reason) => (not_run_status(reason), "not-run", reason.as_str()),
        Outcome::Unknown(reason) => (StatusCode::GATEWAY_TIMEOUT, "unknown", reason.as_str()),
        // A recorded answer whose body is not available cannot be replayed.
        Outcome::Answered => (
            StatusCode::GATEWAY_TIMEOUT,
            "unknown",
            UnknownReason::ClaimedBefore.as_str(),
        ),
    };
    let body = FailureBody {
        outcome: name,
        reason,
    };
    // The fields are plain strings, so serialization cannot fail.
    let body = Bytes::from(serde_json::to_vec(&body).unwrap_or_default());
    let mut response = Response::with_body(code, AnswerBody::Buffered(Some(body)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    insert_field(&mut response, headers::OUTCOME, name);
    insert_field(&mut response, headers::REASON, reason);
    response
}

const fn not_run_status(reason: NotRunReason) -> StatusCode {
    match reason {
        NotRunReason::BadRequest | NotRunReason::MissingOrderId => StatusCode::BAD_REQUEST,
        NotRunReason::UnknownService | NotRunReason::UnknownRank => StatusCode::NOT_FOUND,
        NotRunReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        NotRunReason::EntryLimit | NotRunReason::QueueFull => StatusCode::TOO_MANY_REQUESTS,
        // The same request would be refused again, so the status must not be a 5xx, which would
        // invite a retry.
        NotRunReason::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        NotRunReason::Deadline
        | NotRunReason::NoOwner
        | NotRunReason::RightLapsed
        | NotRunReason::NotDispatcher
        | NotRunReason::Fenced
        | NotRunReason::Shed
        | NotRunReason::Draining
        | NotRunReason::Starting
        | NotRunReason::ConnectFailed
        | NotRunReason::PeerUnreachable
        | NotRunReason::ClaimUnavailable
        | NotRunReason::RetryBudget
        | NotRunReason::InvalidSettings
        | NotRunReason::Stopping
        | NotRunReason::Cancelled => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn status(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::BAD_GATEWAY)
}

fn insert_field(response: &mut Response<AnswerBody>, name: &'static str, value: &str) {
    // Names consist of letters, digits and a few punctuation characters, all of which are valid in
    // a header value.
    if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}
