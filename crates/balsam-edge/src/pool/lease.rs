//! The permission to send one request to one upstream.

use super::message::LeaseEnd;
use crate::http::Connection;
use balsam_decide::directory::DiscoveredUpstream;
use balsam_decide::pool::Verdict;
use balsam_types::{Route, ServiceName};
use std::sync::Arc;
use tokio::sync::mpsc;

/// A slot at an upstream. Its end is reported to the pool also if the request is dropped.
#[derive(Debug)]
pub(crate) struct Lease {
    /// The service.
    pub(crate) service: ServiceName,
    /// The upstream.
    pub(crate) upstream: Arc<DiscoveredUpstream>,
    /// An idle connection to the upstream, if there is one.
    pub(crate) idle: Option<Connection>,
    /// Whether the upstream has reset connections a short time ago.
    pub(crate) resets_connections: bool,
    route: Arc<Route>,
    // Each lease sends exactly one message, so the number of leases bounds this channel.
    ends: Option<mpsc::UnboundedSender<LeaseEnd>>,
}

impl Lease {
    /// Creates a lease whose end is reported to `ends`.
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
            resets_connections: false,
            route,
            ends: Some(ends),
        }
    }

    /// Sets whether the upstream has reset connections a short time ago.
    pub(super) const fn with_resets_connections(mut self, resets_connections: bool) -> Self {
        self.resets_connections = resets_connections;
        self
    }

    /// Ends the lease. A connection that may be reused goes back to the pool.
    pub(crate) fn end(mut self, verdict: Verdict, took_ms: u64, connection: Option<Connection>) {
        self.report_end(verdict, took_ms, connection);
    }

    fn report_end(&mut self, verdict: Verdict, took_ms: u64, connection: Option<Connection>) {
        if let Some(ends) = self.ends.take() {
            let upstream = Arc::clone(&self.upstream);
            let route = Arc::clone(&self.route);
            // The pool may have ended, in which case nobody needs the report.
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
        self.report_end(Verdict::Dropped, 0, None);
    }
}
