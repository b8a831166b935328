//! Readiness and liveness probes.

use super::Phase;
use crate::request::answer::AnswerBody;
use crate::request::chain::EntryContext;
use crate::request::clock::now;
use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;

/// The path prefix of the probes. It cannot clash with a request path, because `-` is not a valid
/// service name.
const PROBE_PATH_PREFIX: &str = "/-/";

/// Answers a probe, or returns `None` for any other request.
pub(super) fn answer(entry: &EntryContext, request: &Request) -> Option<Response<AnswerBody>> {
    let path = request.path().strip_prefix(PROBE_PATH_PREFIX)?;
    let is_read = matches!(*request.method(), Method::GET | Method::HEAD);
    Some(match path {
        "live" if is_read => text(StatusCode::OK, "live"),
        "ready" if is_read => ready(entry),
        _ => text(StatusCode::NOT_FOUND, "no such path"),
    })
}

fn ready(entry: &EntryContext) -> Response<AnswerBody> {
    let is_running = *entry.phase.borrow() == Phase::Running;
    if is_running && entry.views.borrow().is_ready(now()) {
        text(StatusCode::OK, "ready")
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}

fn text(status: StatusCode, body: &'static str) -> Response<AnswerBody> {
    let body = Bytes::from_static(body.as_bytes());
    Response::with_body(status, AnswerBody::Buffered(Some(body)))
}
