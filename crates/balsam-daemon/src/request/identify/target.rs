//! Parsing of the request target into service and key.

use actix_http::Uri;
use balsam_types::{NotRunReason, ServiceName};

/// The maximum length of a key in bytes. The key is sent to the upstream in a single header field.
const KEY_MAX_BYTES: usize = 1_024;

/// Splits `/{service}/{key}[/...]` into service and key.
pub(super) fn split_target(uri: &Uri) -> Result<(ServiceName, &str), NotRunReason> {
    let path = uri.path().strip_prefix('/');
    let mut parts = path.ok_or(NotRunReason::BadRequest)?.splitn(3, '/');
    let service = parts.next().unwrap_or_default();
    let service = ServiceName::new(service).map_err(|_| NotRunReason::BadRequest)?;
    match parts.next() {
        Some(key) if (1..=KEY_MAX_BYTES).contains(&key.len()) => Ok((service, key)),
        Some(_) | None => Err(NotRunReason::BadRequest),
    }
}

/// Returns the path and query to send to the upstream.
pub(super) fn target_text(uri: &Uri) -> &str {
    uri.path_and_query()
        .map_or("/", actix_http::uri::PathAndQuery::as_str)
}
