//! Reads header fields of callers.

use actix_http::RequestHead;
use actix_http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use balsam_types::{HeaderField, MemberName, NotRunReason};
use balsam_wire::upstream::headers;
use std::str::FromStr;
use std::sync::Arc;

/// Fields that are not passed on: they concern one connection, or this daemon sets them.
const NOT_PASSED_ON: [&str; 13] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    headers::IDEMPOTENCY_KEY,
    "http2-settings",
];

/// The prefix of fields that daemons set towards upstreams.
const OWN_PREFIX: &str = "balsam-";

/// The member of callers that name none.
pub(super) fn anonymous() -> Result<MemberName, NotRunReason> {
    MemberName::new("anonymous").map_err(|_| NotRunReason::BadRequest)
}

/// Parses the text of a field that may be absent and must not be repeated.
pub(super) fn text_field<T: FromStr>(
    head: &RequestHead,
    name: &'static str,
) -> Result<Option<T>, NotRunReason> {
    let mut values = head.headers.get_all(name);
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(NotRunReason::BadRequest);
    }
    let text = std::str::from_utf8(value.as_bytes()).map_err(|_| NotRunReason::BadRequest)?;
    let parsed = text.parse().map_err(|_| NotRunReason::BadRequest)?;
    Ok(Some(parsed))
}

/// Parses a field that holds a number.
pub(super) fn number_field(
    head: &RequestHead,
    name: &'static str,
) -> Result<Option<u64>, NotRunReason> {
    text_field(head, name)
}

/// Returns the exact length of the body, or `None` if it comes in chunks.
pub(super) fn body_length(head: &RequestHead) -> Result<Option<u64>, NotRunReason> {
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Ok(None);
    }
    let length = text_field(head, CONTENT_LENGTH.as_str())?;
    Ok(Some(length.unwrap_or(0)))
}

/// Returns the fields that are passed on to the upstream.
pub(super) fn passed_on(
    head: &RequestHead,
    max_bytes: usize,
) -> Result<Vec<HeaderField>, NotRunReason> {
    let connection = head.headers.get(CONNECTION);
    let named = connection.and_then(|value| value.to_str().ok());
    let named: Vec<&str> = named
        .unwrap_or_default()
        .split(',')
        .map(str::trim)
        .collect();
    let mut total_bytes = 0;
    let mut fields = Vec::new();
    for (name, value) in &head.headers {
        total_bytes += name.as_str().len() + value.len();
        if total_bytes > max_bytes {
            return Err(NotRunReason::BadRequest);
        }
        let name = name.as_str();
        let is_named = named.iter().any(|named| named.eq_ignore_ascii_case(name));
        if is_named || NOT_PASSED_ON.contains(&name) || name.starts_with(OWN_PREFIX) {
            continue;
        }
        fields.push(HeaderField {
            name: Arc::from(name),
            value: value.as_bytes().to_vec(),
        });
    }
    Ok(fields)
}
