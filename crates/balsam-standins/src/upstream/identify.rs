//! Reads the head of a work request.

use super::WorkHead;
use actix_http::header::{HeaderMap, IF_RANGE, RANGE};
use actix_http::{HttpMessage, Method, Request};
use balsam_types::{Epoch, RequestKey, UnitId};
use balsam_wire::upstream::headers;
use snafu::Snafu;
use std::str::FromStr;
use std::sync::Arc;

/// Deadline of requests that carry none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// A header field that cannot be interpreted.
#[derive(Debug, Snafu)]
#[snafu(display("{field}: {value:?} is not valid (accepted: {accepted})"))]
pub(super) struct FieldError {
    field: &'static str,
    value: String,
    accepted: &'static str,
}

/// Reads the head of `request`.
pub(super) fn identify(request: &Request) -> Result<WorkHead, FieldError> {
    let fields = request.headers();
    let read = request.method() == Method::GET;
    let key = match text(fields, headers::KEY) {
        Some(key) => key,
        None => request
            .path()
            .split('/')
            .nth(2)
            .unwrap_or_default()
            .to_owned(),
    };
    let number = |field| parsed::<u64>(fields, field, "0 to 2^64 - 1");
    let name = "letters, digits, '-', '_', '.', ':'";
    Ok(WorkHead {
        path: Arc::from(request.path()),
        key: RequestKey::new(key),
        unit: number(headers::UNIT)?.map(UnitId),
        epoch: number(headers::EPOCH)?.map(Epoch),
        rank: parsed(fields, headers::RANK, name)?,
        member: parsed(fields, headers::MEMBER, name)?,
        order_id: parsed(fields, headers::IDEMPOTENCY_KEY, name)?,
        remaining_ms: number(headers::DEADLINE_MS)?.unwrap_or(DEFAULT_DEADLINE_MS),
        range: shared(fields, RANGE.as_str()).filter(|_| read),
        if_range: shared(fields, IF_RANGE.as_str()),
    })
}

fn text(fields: &HeaderMap, field: &str) -> Option<String> {
    let value = fields.get(field)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

fn shared(fields: &HeaderMap, field: &str) -> Option<Arc<str>> {
    text(fields, field).map(Arc::from)
}

fn parsed<T: FromStr>(
    fields: &HeaderMap,
    field: &'static str,
    accepted: &'static str,
) -> Result<Option<T>, FieldError> {
    let Some(value) = text(fields, field) else {
        return Ok(None);
    };
    match value.parse() {
        Ok(parsed) => Ok(Some(parsed)),
        Err(_) => Err(FieldError {
            field,
            value,
            accepted,
        }),
    }
}
