//! Messages to the pool's task.

use super::Lease;
use crate::http::Connection;
use balsam_decide::budget::BudgetTerms;
use balsam_decide::directory::DiscoveredUpstream;
use balsam_decide::pool::{EndReport, Permit, Refusal, UpstreamNotice, Verdict};
use balsam_types::{Route, ServiceName, ShardKey, TimeMs, UpstreamName};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Refusal of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaseError {
    pub(crate) refusal: Refusal,
    /// Time after which a retry makes sense, in milliseconds.
    pub(crate) retry_after_ms: u64,
}

/// A request for a lease.
#[derive(Debug)]
pub(crate) struct LeaseRequest {
    pub(crate) route: Arc<Route>,
    pub(crate) service: Option<ServiceName>,
    pub(crate) key: Option<ShardKey>,
    /// When the daemon received the request.
    pub(crate) received_at: TimeMs,
    /// Deadline of the caller.
    pub(crate) caller_deadline: TimeMs,
    /// Deadline of the request.
    pub(crate) give_up_at: TimeMs,
    /// Upstreams to which earlier attempts were sent.
    pub(crate) avoid: Vec<UpstreamName>,
    /// Whether the request is a retry, which counts against the retry budget.
    pub(crate) is_repeat: bool,
}

/// A message to the pool's task.
#[derive(Debug)]
pub(crate) enum PoolMessage {
    /// A request needs a lease.
    RequestLease {
        request: LeaseRequest,
        reply: oneshot::Sender<Result<Lease, LeaseError>>,
    },
    /// The retry budget has changed.
    Budget(BudgetTerms),
}

/// A report of a lease to the pool.
#[derive(Debug)]
pub(crate) enum LeaseReport {
    /// The upstream has announced something in its answer.
    Notice {
        upstream: Arc<DiscoveredUpstream>,
        notice: UpstreamNotice,
    },
    /// The lease has ended.
    Ended(LeaseEnd),
}

/// The end of a lease.
#[derive(Debug)]
pub(crate) struct LeaseEnd {
    pub(crate) upstream: Arc<DiscoveredUpstream>,
    pub(crate) route: Arc<Route>,
    pub(crate) verdict: Verdict,
    pub(crate) took_ms: u64,
    pub(crate) connection: Option<Connection>,
    pub(crate) permit: Option<Permit>,
    pub(crate) report: EndReport,
}

/// A handle of the pool's task; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct PoolClient {
    messages: mpsc::Sender<PoolMessage>,
}

impl PoolClient {
    /// Creates a handle that sends to `messages`.
    pub(crate) const fn new(messages: mpsc::Sender<PoolMessage>) -> Self {
        Self { messages }
    }

    /// Changes the retry budget.
    pub(crate) async fn set_budget(&self, terms: BudgetTerms) {
        // The pool may have ended, in which case it needs no budget.
        drop(self.messages.send(PoolMessage::Budget(terms)).await);
    }

    /// Waits for a lease.
    pub(crate) async fn request_lease(&self, request: LeaseRequest) -> Result<Lease, LeaseError> {
        let (reply, response) = oneshot::channel();
        let stopped = LeaseError {
            refusal: Refusal::NoUpstream,
            retry_after_ms: 0,
        };
        if self
            .messages
            .send(PoolMessage::RequestLease { request, reply })
            .await
            .is_err()
        {
            return Err(stopped);
        }
        response.await.unwrap_or(Err(stopped))
    }
}
