//! Whether a request may be sent to an upstream at this moment.

use super::http1::SendTerms;
use crate::request::clock::{instant_at, now};
use crate::request::message::Failure;
use balsam_decide::node::{Location, View};
use balsam_types::control::UpstreamStatus;
use balsam_types::{Epoch, KeyHash, NotRunReason, ServiceName, TimeMs, UpstreamName};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::timeout_at;

/// Why a request cannot be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Blocked {
    /// It may be possible before the deadline.
    Wait(NotRunReason),
    /// It will not be possible at this dispatcher.
    Refuse(NotRunReason),
}

/// What a request may be sent with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Permitted {
    /// The values for the request's head.
    pub(super) terms: SendTerms,
    /// The upstream's address.
    pub(super) address: SocketAddr,
    /// When the request must have ended.
    pub(super) deadline: TimeMs,
}

/// Checks one request against the newest view.
#[derive(Clone, Debug)]
pub(crate) struct SendPermit {
    /// The views.
    pub(crate) views: watch::Receiver<Arc<View>>,
    /// The upstream.
    pub(crate) upstream: UpstreamName,
    /// The service.
    pub(crate) service: ServiceName,
    /// The key.
    pub(crate) key: KeyHash,
    /// The epoch at which the entry daemon located the key.
    pub(crate) epoch: Epoch,
    /// When the caller stops waiting.
    pub(crate) deadline: TimeMs,
}

impl SendPermit {
    /// Returns what the request may be sent with at this moment.
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
        let is_mine = dispatcher.is_some_and(|daemon| daemon.incarnation == view.me);
        if upstream.name != self.upstream || !is_mine {
            return Err(Blocked::Refuse(NotRunReason::NotDispatcher));
        }
        let is_draining = upstream.status == UpstreamStatus::Draining;
        if is_draining || view.draining.contains(&self.upstream) {
            return Err(Blocked::Refuse(NotRunReason::Draining));
        }
        if upstream.checks_grants && !view.granted.contains(&self.upstream) {
            return Err(Blocked::Wait(NotRunReason::Fenced));
        }
        // An upstream that does not check grants must not work beyond this daemon's right.
        let deadline = if upstream.checks_grants {
            self.deadline
        } else {
            self.deadline.min(view.lease_until)
        };
        let terms = SendTerms {
            unit,
            epoch: view.state.epoch,
            remaining_ms: deadline.since(now),
        };
        Ok(Permitted {
            terms,
            address: upstream.address,
            deadline,
        })
    }

    /// Returns whether a request that was begun may be continued.
    ///
    /// Its unit may have begun to move: a planned move waits for running requests.
    pub(super) fn check_begun(&self) -> Result<(), Blocked> {
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

    /// Waits until the control state lists the upstream as lost, or no longer lists it.
    ///
    /// A frozen upstream keeps its connections open; idempotent work need not wait for it, because
    /// its units are on their way to another owner.
    pub(super) async fn upstream_lost(&self) {
        let mut views = self.views.clone();
        let is_lost = |view: &Arc<View>| {
            let upstream = view.state.upstreams.get(&self.upstream);
            upstream.is_none_or(|upstream| upstream.status == UpstreamStatus::Lost)
        };
        if views.wait_for(is_lost).await.is_err() {
            // Without a control task nothing is known of the upstream.
            std::future::pending::<()>().await;
        }
    }

    /// Waits until `check` passes, or returns why it does not before the deadline.
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
