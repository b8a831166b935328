//! The filter that finds the owner of a key and the daemon that dispatches for it.

use super::clock::{instant_at, now};
use super::message::Failure;
use balsam_decide::node::{Location, View};
use balsam_types::control::DaemonInfo;
use balsam_types::{Epoch, NotRunReason, RequestHead, TimeMs, UnitId, UpstreamName};
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::timeout_at;

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Route {
    /// The unit that holds the key.
    pub(crate) unit: UnitId,
    /// The owner of the key.
    pub(crate) upstream: UpstreamName,
    /// The daemon that dispatches for it.
    pub(crate) dispatcher: DaemonInfo,
    /// Whether that is this daemon.
    pub(crate) is_local: bool,
    /// The epoch of the control state that says so.
    pub(crate) epoch: Epoch,
}

/// Finds the route in one view, or says why there is none at this moment.
fn find(view: &View, head: &RequestHead, now: TimeMs) -> Result<Route, NotRunReason> {
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

/// Waits until there is a route, or returns why there is none before the deadline.
///
/// The wait spans suspended units, missing dispatchers and a lapsed right of this daemon.
pub(crate) async fn locate(
    views: &mut watch::Receiver<Arc<View>>,
    head: &RequestHead,
    deadline: TimeMs,
) -> Result<Route, Failure> {
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        let reason = match find(&view, head, now()) {
            Ok(route) => return Ok(route),
            Err(NotRunReason::UnknownService) => {
                return Err(Failure::NotRun(NotRunReason::UnknownService));
            }
            Err(reason) => reason,
        };
        // The daemon no longer waits once its settings may be too old to be followed.
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
