//! The filter that finds a request's route and reads what decides its way.

use super::HeaderNames;
use super::read::CallerRequest;
use crate::view::View;
use balsam_decide::quarantine::{BodyDigest, fingerprint};
use balsam_decide::routing::RouteTable;
use balsam_types::{Fingerprint, KeyHash, Route, ShardKey, TimeMs};
use std::sync::Arc;

/// A request with its route.
#[derive(Debug)]
pub(super) struct Routed {
    pub(super) request: CallerRequest,
    pub(super) route: Arc<Route>,
    pub(super) table: Arc<RouteTable>,
    pub(super) attempt_id: String,
    pub(super) key: Option<ShardKey>,
    /// When the caller or the route gives up.
    pub(super) deadline: TimeMs,
    /// When the caller gives up.
    pub(super) caller_deadline: TimeMs,
}

impl Routed {
    /// Returns what equal requests have in common.
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

/// Why a request has no way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unrouted {
    /// No configuration is known yet.
    NoConfig,
    /// The daemon is about to end.
    Stopping,
    /// No route takes the request.
    NoRoute,
    /// The request lacks its id, or a field that decides its way is malformed.
    BadRequest,
}

impl Unrouted {
    /// Returns the status that tells the caller.
    pub(super) const fn status(self) -> u16 {
        match self {
            Self::NoConfig | Self::Stopping => 503,
            Self::NoRoute => 404,
            Self::BadRequest => 400,
        }
    }

    /// Returns the text used in log lines and metrics.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::NoConfig => "no-config",
            Self::Stopping => "stopping",
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
) -> Result<Routed, Box<(Unrouted, CallerRequest)>> {
    let Some(table) = view.table.as_ref().filter(|_| view.is_ready()) else {
        return Err(Box::new((Unrouted::NoConfig, request)));
    };
    let fields = &request.head.fields;
    let attempt_id = fields.text(names.attempt_id).filter(|id| !id.is_empty());
    let host = fields.text("host");
    let path = std::str::from_utf8(&request.head.target).ok();
    let (Some(attempt_id), Some(host), Some(path)) = (attempt_id, host, path) else {
        return Err(Box::new((Unrouted::BadRequest, request)));
    };
    let Some(route) = table.find(host, path) else {
        return Err(Box::new((Unrouted::NoRoute, request)));
    };
    let (Ok(key), Ok(deadline_ms)) = (
        number::<u16>(fields, names.key),
        number::<u64>(fields, names.deadline_ms),
    ) else {
        return Err(Box::new((Unrouted::BadRequest, request)));
    };
    let caller_deadline = request
        .received_at
        .after(deadline_ms.unwrap_or(route.timeout_ms));
    let deadline = caller_deadline.min(request.received_at.after(route.timeout_ms));
    let (attempt_id, route, table) = (attempt_id.to_owned(), Arc::clone(route), Arc::clone(table));
    Ok(Routed {
        request,
        route,
        table,
        attempt_id,
        key: key.map(ShardKey),
        deadline,
        caller_deadline,
    })
}

/// A header field that is no number.
struct NoNumber;

fn number<T: std::str::FromStr>(
    fields: &balsam_http1::Fields,
    name: &str,
) -> Result<Option<T>, NoNumber> {
    match fields.get(name) {
        None => Ok(None),
        Some(value) => {
            let text = std::str::from_utf8(value).map_err(|_| NoNumber)?;
            text.trim().parse().map(Some).map_err(|_| NoNumber)
        }
    }
}
