//! The permission to send one request to one upstream.

use super::message::{LeaseEnd, LeaseReport};
use super::withdrawals::{LeaseNumber, Withdrawals};
use crate::http::Connection;
use balsam_decide::directory::DiscoveredUpstream;
use balsam_decide::pool::{EndReport, Permit, UpstreamNotice, Verdict};
use balsam_types::{Route, ServiceName};
use std::cell::Cell;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

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
    number: LeaseNumber,
    /// The permit of a keeper, which ends with the lease.
    permit: Option<Permit>,
    report: Cell<EndReport>,
    withdrawals: watch::Receiver<Arc<Withdrawals>>,
    // Each lease sends at most two messages, so the number of leases bounds this channel.
    reports: Option<mpsc::UnboundedSender<LeaseReport>>,
}

impl Lease {
    /// Creates a lease that reports to `reports`. It may be withdrawn by a withdrawal that is newer
    /// than its number.
    pub(super) fn new(
        service: ServiceName,
        upstream: Arc<DiscoveredUpstream>,
        route: Arc<Route>,
        number: LeaseNumber,
        withdrawals: watch::Receiver<Arc<Withdrawals>>,
        reports: mpsc::UnboundedSender<LeaseReport>,
    ) -> Self {
        Self {
            service,
            upstream,
            idle: None,
            resets_connections: false,
            route,
            number,
            permit: None,
            report: Cell::new(EndReport::default()),
            withdrawals,
            reports: Some(reports),
        }
    }

    /// Adds an idle connection to the upstream, if there is one.
    pub(super) fn with_idle(mut self, idle: Option<Connection>) -> Self {
        self.idle = idle;
        self
    }

    /// Sets the permit under which the request is sent.
    pub(super) const fn with_permit(mut self, permit: Option<Permit>) -> Self {
        self.permit = permit;
        self
    }

    /// Sets whether the upstream has reset connections a short time ago.
    pub(super) const fn with_resets_connections(mut self, resets_connections: bool) -> Self {
        self.resets_connections = resets_connections;
        self
    }

    /// Returns whether the upstream has announced since the start of the lease that it leaves or
    /// pauses. The request should then not be sent, because another upstream may run it.
    pub(crate) fn is_withdrawn(&self) -> bool {
        let withdrawals = self.withdrawals.borrow();
        withdrawals.is_withdrawn(&self.upstream.entry, self.number)
    }

    /// Reports what the upstream has announced about itself.
    pub(crate) fn report_notice(&self, notice: UpstreamNotice) {
        if notice == UpstreamNotice::default() {
            return;
        }
        if let Some(reports) = &self.reports {
            let upstream = Arc::clone(&self.upstream);
            // The pool may have ended, in which case nobody needs the report.
            drop(reports.send(LeaseReport::Notice { upstream, notice }));
        }
    }

    /// Sets what the upstream has told, which is passed on with the end of the lease.
    pub(crate) fn set_report(&self, report: EndReport) {
        self.report.set(report);
    }

    /// Ends the lease. A connection that may be reused goes back to the pool.
    pub(crate) fn end(mut self, verdict: Verdict, took_ms: u64, connection: Option<Connection>) {
        self.report_end(verdict, took_ms, connection);
    }

    fn report_end(&mut self, verdict: Verdict, took_ms: u64, connection: Option<Connection>) {
        if let Some(reports) = self.reports.take() {
            let upstream = Arc::clone(&self.upstream);
            let route = Arc::clone(&self.route);
            // The pool may have ended, in which case nobody needs the report.
            drop(reports.send(LeaseReport::Ended(LeaseEnd {
                upstream,
                route,
                verdict,
                took_ms,
                connection,
                permit: self.permit,
                report: self.report.get(),
            })));
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.report_end(Verdict::Dropped, 0, None);
    }
}
