//! Parsing and filtering of callers' header fields.

use actix_http::RequestHead;
use actix_http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use balsam_types::{HeaderField, MemberName, NotRunReason};
use balsam_wire::upstream::headers;
use std::str::FromStr;
use std::sync::Arc;

/// Header fields that are not forwarded because they are hop-by-hop or set by this daemon.
const STRIPPED_FIELDS: [&str; 13] = [
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

/// The prefix of header fields that only daemons may set on requests to upstreams.
const RESERVED_PREFIX: &str = "balsam-";

/// Returns the member name for requests that do not name one.
pub(super) fn anonymous_member() -> Result<MemberName, NotRunReason> {
    MemberName::new("anonymous").map_err(|_| NotRunReason::BadRequest)
}

/// Parses an optional header field, and rejects a field that occurs more than once.
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

/// Parses an optional numeric header field.
pub(super) fn number_field(
    head: &RequestHead,
    name: &'static str,
) -> Result<Option<u64>, NotRunReason> {
    text_field(head, name)
}

/// Returns the exact body length in bytes, or `None` for a body with a transfer encoding.
pub(super) fn body_length(head: &RequestHead) -> Result<Option<u64>, NotRunReason> {
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Ok(None);
    }
    let length = text_field(head, CONTENT_LENGTH.as_str())?;
    Ok(Some(length.unwrap_or(0)))
}

/// Returns the header fields to forward to the upstream.
///
/// Fields that the `connection` header names are hop-by-hop and therefore not forwarded.
pub(super) fn forwarded_fields(
    head: &RequestHead,
    max_bytes: usize,
) -> Result<Vec<HeaderField>, NotRunReason> {
    let connection = head.headers.get(CONNECTION);
    let connection_options = connection.and_then(|value| value.to_str().ok());
    let connection_options: Vec<&str> = connection_options
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
        let is_connection_option = connection_options
            .iter()
            .any(|connection_options| connection_options.eq_ignore_ascii_case(name));
        if is_connection_option
            || STRIPPED_FIELDS.contains(&name)
            || name.starts_with(RESERVED_PREFIX)
        {
            continue;
        }
        fields.push(HeaderField {
            name: Arc::from(name),
            value: value.as_bytes().to_vec(),
        });
    }
    Ok(fields)
}
