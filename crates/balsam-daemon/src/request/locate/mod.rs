//! The filter that resolves a key to its owning upstream and the daemon that dispatches for that
//! upstream.

use super::clock::{instant_at, now};
use super::message::Failure;
use balsam_decide::node::{Location, View};
use balsam_types::control::DaemonInfo;
use balsam_types::{Epoch, NotRunReason, RequestHead, TimeMs, UnitId, UpstreamName};
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::timeout_at;

/// The destination of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Route {
    /// The unit to which the key belongs.
    pub(crate) unit: UnitId,
    /// The upstream that owns the unit.
    pub(crate) upstream: UpstreamName,
    /// The daemon that dispatches requests to the upstream.
    pub(crate) dispatcher: DaemonInfo,
    /// Whether this daemon is the dispatcher.
    pub(crate) is_local: bool,
    /// The epoch of the control state from which the route was resolved.
    pub(crate) epoch: Epoch,
}

/// Resolves the route from one view, or returns why there is currently none.
fn find_route(view: &View, head: &RequestHead, now: TimeMs) -> Result<Route, NotRunReason> {
    if !view.has_lease(now) {
        return Err(NotRunReason::RightLapsed);
    }
    match view.locate(&head.service, head.key.hash) {
        Location::UnknownService => Err(NotRunReason::UnknownService),
        Location::Suspended { .. }
        | Location::At {
            dispatcher: None, ..
        } => Err(NotRunReason::NoOwner),
        Location::At {
            unit,
            upstream,
            dispatcher: Some(dispatcher),
            ..
        } => Ok(Route {
            unit,
            upstream: upstream.name,
            is_local: dispatcher.incarnation == view.me,
            dispatcher,
            epoch: view.state.epoch,
        }),
    }
}

/// Waits until a route exists, or returns why there is none before the deadline.
///
/// The wait covers units without an active owner, missing dispatchers and an expired lease of this
/// daemon.
pub(crate) async fn locate(
    views: &mut watch::Receiver<Arc<View>>,
    head: &RequestHead,
    deadline: TimeMs,
) -> Result<Route, Failure> {
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        let reason = match find_route(&view, head, now()) {
            Ok(route) => return Ok(route),
            Err(NotRunReason::UnknownService) => {
                return Err(Failure::NotRun(NotRunReason::UnknownService));
            }
            Err(reason) => reason,
        };
        // A daemon that is not ready may hold outdated settings, so it refuses the request instead of
        // waiting.
        if !view.is_ready(now()) {
            return Err(Failure::NotRun(NotRunReason::RightLapsed));
        }
        match timeout_at(instant_at(deadline), views.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Err(Failure::NotRun(NotRunReason::Stopping)),
            Err(_) => return Err(Failure::NotRun(reason)),
        }
    }
}
