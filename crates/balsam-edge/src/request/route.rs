//! The filter that finds the route of a request and reads the header fields that affect routing.

use super::HeaderNames;
use super::read::CallerRequest;
use crate::view::View;
use balsam_decide::quarantine::{BodyDigest, fingerprint};
use balsam_decide::routing::RouteTable;
use balsam_types::{Fingerprint, KeyHash, Route, ShardKey, TimeMs};
use std::sync::Arc;

/// A request with its route.
#[derive(Debug)]
pub(super) struct RoutedRequest {
    pub(super) request: CallerRequest,
    pub(super) route: Arc<Route>,
    pub(super) table: Arc<RouteTable>,
    /// Id of the caller's attempt, from the request head.
    pub(super) attempt_id: String,
    pub(super) key: Option<ShardKey>,
    /// The deadline of the caller or of the route, whichever is earlier.
    pub(super) deadline: TimeMs,
    /// The deadline of the caller.
    pub(super) caller_deadline: TimeMs,
}

impl RoutedRequest {
    /// Returns the fingerprint that equal requests share.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        let CallerRequest { head, body, .. } = &self.request;
        let mut digest = BodyDigest::new();
        digest.update(body);
        let host = head.fields.text("host").unwrap_or_default();
        let (method, target) = (
            String::from_utf8_lossy(&head.method),
            String::from_utf8_lossy(&head.target),
        );
        let key = KeyHash(self.key.map_or(0, |key| u64::from(key.0) + 1));
        fingerprint(host, method, target, key, digest.finish())
    }
}

/// Reason that a request cannot be routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RouteError {
    /// No configuration is known yet.
    NoConfig,
    /// The daemon cannot show in time that its tables are current.
    Outdated,
    /// The daemon is about to stop.
    Stopping,
    /// There is no memory for the body of the request.
    NoMemory,
    /// The body of the request exceeds the memory for bodies.
    ExceedsMemory,
    /// No route matches the request.
    NoRoute,
    /// The request has no id, or a header field that affects routing is malformed.
    BadRequest,
}

impl RouteError {
    /// Returns the status of the response to the caller.
    pub(super) const fn status(self) -> u16 {
        match self {
            Self::NoConfig | Self::Outdated | Self::Stopping | Self::NoMemory => 503,
            Self::ExceedsMemory => 413,
            Self::NoRoute => 404,
            Self::BadRequest => 400,
        }
    }

    /// Returns the text used in log lines and metrics.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::NoConfig => "no-config",
            Self::Outdated => "outdated",
            Self::Stopping => "stopping",
            Self::NoMemory => "no-memory",
            Self::ExceedsMemory => "exceeds-memory",
            Self::NoRoute => "no-route",
            Self::BadRequest => "bad-request",
        }
    }
}

/// Finds the route of a request.
pub(super) fn route(
    names: &HeaderNames,
    view: &View,
    request: CallerRequest,
) -> Result<RoutedRequest, Box<(RouteError, CallerRequest)>> {
    let Some(table) = view.table.as_ref().filter(|_| view.is_ready()) else {
        return Err(Box::new((RouteError::NoConfig, request)));
    };
    let fields = &request.head.fields;
    let attempt_id = fields.text(names.attempt_id).filter(|id| !id.is_empty());
    let host = fields.text("host");
    let path = std::str::from_utf8(&request.head.target).ok();
    let (Some(attempt_id), Some(host), Some(path)) = (attempt_id, host, path) else {
        return Err(Box::new((RouteError::BadRequest, request)));
    };
    let Some(route) = table.find(host, path) else {
        return Err(Box::new((RouteError::NoRoute, request)));
    };
    let (Ok(key), Ok(deadline_ms)) = (
        parse_number::<u16>(fields, names.key),
        parse_number::<u64>(fields, names.deadline_ms),
    ) else {
        return Err(Box::new((RouteError::BadRequest, request)));
    };
    let caller_deadline = request
        .received_at
        .after(deadline_ms.unwrap_or(route.timeout_ms));
    let deadline = caller_deadline.min(request.received_at.after(route.timeout_ms));
    let (attempt_id, route, table) = (attempt_id.to_owned(), Arc::clone(route), Arc::clone(table));
    Ok(RoutedRequest {
        request,
        route,
        table,
        attempt_id,
        key: key.map(ShardKey),
        deadline,
        caller_deadline,
    })
}

/// A header field is not a valid number.
struct InvalidNumber;

fn parse_number<T: std::str::FromStr>(
    fields: &balsam_http1::Fields,
    name: &str,
) -> Result<Option<T>, InvalidNumber> {
    match fields.get(name) {
        None => Ok(None),
        Some(value) => {
            let text = std::str::from_utf8(value).map_err(|_| InvalidNumber)?;
            text.trim().parse().map(Some).map_err(|_| InvalidNumber)
        }
    }
}
