//! Checks whether a request may be sent to an upstream at the current time.

use super::http1::RoutingFields;
use crate::request::clock::{instant_at, now};
use crate::request::message::Failure;
use balsam_decide::node::{Location, View};
use balsam_types::control::UpstreamStatus;
use balsam_types::{Epoch, KeyHash, NotRunReason, ServiceName, TimeMs, UpstreamName};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::timeout_at;

/// The reason why a request cannot be sent at the current time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Blocked {
    /// The condition may clear before the deadline.
    Wait(NotRunReason),
    /// The condition will not clear, so this dispatcher refuses the request.
    Refuse(NotRunReason),
}

/// The parameters with which a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Permitted {
    /// The values for the request's header fields.
    pub(super) routing: RoutingFields,
    pub(super) address: SocketAddr,
    /// The time by which the request must have ended.
    pub(super) deadline: TimeMs,
}

/// Checks one request against the latest view.
#[derive(Clone, Debug)]
pub(crate) struct SendPermit {
    /// The latest view of the control state.
    pub(crate) views: watch::Receiver<Arc<View>>,
    /// The upstream to which the request is sent.
    pub(crate) upstream: UpstreamName,
    pub(crate) service: ServiceName,
    pub(crate) key: KeyHash,
    /// The epoch of the view in which the entry daemon resolved the route.
    pub(crate) epoch: Epoch,
    /// The time at which the caller stops waiting.
    pub(crate) deadline: TimeMs,
}

impl SendPermit {
    /// Returns the parameters for sending the request, or why it cannot be sent now.
    pub(super) fn check(&self) -> Result<Permitted, Blocked> {
        let now = now();
        let view = Arc::clone(&self.views.borrow());
        if self.deadline <= now {
            return Err(Blocked::Refuse(NotRunReason::Deadline));
        }
        if !view.has_lease(now) {
            return Err(Blocked::Wait(NotRunReason::RightLapsed));
        }
        if view.state.epoch < self.epoch {
            return Err(Blocked::Wait(NotRunReason::NoOwner));
        }
        let located = view.locate(&self.service, self.key);
        let (unit, upstream, dispatcher) = match located {
            Location::UnknownService => return Err(Blocked::Refuse(NotRunReason::UnknownService)),
            Location::Suspended { .. } => return Err(Blocked::Refuse(NotRunReason::NoOwner)),
            Location::At {
                unit,
                upstream,
                dispatcher,
                ..
            } => (unit, upstream, dispatcher),
        };
        let is_local = dispatcher.is_some_and(|daemon| daemon.incarnation == view.me);
        if upstream.name != self.upstream || !is_local {
            return Err(Blocked::Refuse(NotRunReason::NotDispatcher));
        }
        let is_draining = upstream.status == UpstreamStatus::Draining;
        if is_draining || view.draining.contains(&self.upstream) {
            return Err(Blocked::Refuse(NotRunReason::Draining));
        }
        if upstream.checks_grants && !view.granted.contains(&self.upstream) {
            return Err(Blocked::Wait(NotRunReason::Fenced));
        }
        // An upstream that does not check grants must not run the request after this daemon's lease
        // expires.
        let deadline = if upstream.checks_grants {
            self.deadline
        } else {
            self.deadline.min(view.lease_until)
        };
        let routing = RoutingFields {
            unit,
            epoch: view.state.epoch,
            remaining_ms: deadline.since(now),
        };
        Ok(Permitted {
            routing,
            address: upstream.address,
            deadline,
        })
    }

    /// Checks whether a request that was partly sent may be continued.
    ///
    /// The owner of the key is not checked: its unit may already be moving, but a planned move
    /// waits for running requests.
    pub(super) fn check_in_progress(&self) -> Result<(), Blocked> {
        let now = now();
        let view = Arc::clone(&self.views.borrow());
        if !view.has_lease(now) {
            return Err(Blocked::Wait(NotRunReason::RightLapsed));
        }
        let upstream = view.state.upstreams.get(&self.upstream);
        let dispatcher = upstream.and_then(|upstream| view.acting_dispatcher(upstream));
        if dispatcher.is_some_and(|daemon| daemon.incarnation == view.me) {
            return Ok(());
        }
        Err(Blocked::Refuse(NotRunReason::NotDispatcher))
    }

    /// Waits until the control state marks the upstream as lost or no longer contains it.
    ///
    /// A frozen upstream keeps its connections open. Idempotent requests need not wait for it,
    /// because its units are being moved to another owner.
    pub(super) async fn upstream_lost(&self) {
        let mut views = self.views.clone();
        let is_lost = |view: &Arc<View>| {
            let upstream = view.state.upstreams.get(&self.upstream);
            upstream.is_none_or(|upstream| upstream.status == UpstreamStatus::Lost)
        };
        if views.wait_for(is_lost).await.is_err() {
            // Without a control task, the state of the upstream is unknown.
            std::future::pending::<()>().await;
        }
    }

    /// Waits until `check` succeeds, or returns why it does not before the deadline.
    pub(super) async fn wait<T>(
        &self,
        check: impl Fn(&Self) -> Result<T, Blocked>,
    ) -> Result<T, Failure> {
        let mut views = self.views.clone();
        loop {
            views.mark_unchanged();
            let reason = match check(self) {
                Ok(passed) => return Ok(passed),
                Err(Blocked::Refuse(reason)) => return Err(Failure::NotRun(reason)),
                Err(Blocked::Wait(reason)) => reason,
            };
            match timeout_at(instant_at(self.deadline), views.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return Err(Failure::NotRun(NotRunReason::Stopping)),
                Err(_) => return Err(Failure::NotRun(reason)),
            }
        }
    }
}
