//! The right to send one request to one upstream.

use super::message::LeaseEnd;
use crate::http::Connection;
use balsam_decide::directory::DiscoveredUpstream;
use balsam_decide::pool::Verdict;
use balsam_types::{Route, ServiceName};
use std::sync::Arc;
use tokio::sync::mpsc;

/// A place at an upstream; its end is told to the pool also when the request is dropped.
#[derive(Debug)]
pub(crate) struct Lease {
    /// The service.
    pub(crate) service: ServiceName,
    /// The upstream.
    pub(crate) upstream: Arc<DiscoveredUpstream>,
    /// Idle connections to it, the one that was used last at the end.
    pub(crate) idle: Option<Connection>,
    route: Arc<Route>,
    // Each lease sends exactly one message, so that leases bound the channel.
    ends: Option<mpsc::UnboundedSender<LeaseEnd>>,
}

impl Lease {
    /// Makes a lease whose end goes to `ends`.
    pub(super) const fn new(
        service: ServiceName,
        upstream: Arc<DiscoveredUpstream>,
        idle: Option<Connection>,
        route: Arc<Route>,
        ends: mpsc::UnboundedSender<LeaseEnd>,
    ) -> Self {
        Self {
            service,
            upstream,
            idle,
            route,
            ends: Some(ends),
        }
    }

    /// Ends the lease.
    pub(crate) fn end(mut self, verdict: Verdict, took_ms: u64, connection: Option<Connection>) {
        self.tell(verdict, took_ms, connection);
    }

    fn tell(&mut self, verdict: Verdict, took_ms: u64, connection: Option<Connection>) {
        if let Some(ends) = self.ends.take() {
            let upstream = Arc::clone(&self.upstream);
            let route = Arc::clone(&self.route);
            // Without a pool there is nothing to tell.
            drop(ends.send(LeaseEnd {
                upstream,
                route,
                verdict,
                took_ms,
                connection,
            }));
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.tell(Verdict::Dropped, 0, None);
    }
}
