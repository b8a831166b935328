//! What the pool is told and what it decides.

use crate::budget::BudgetTerms;
use crate::directory::{DiscoveredUpstream, Upstreams};
use crate::routing::RouteTable;
use balsam_types::{
    FencingToken, Map, Route, ServiceName, ServiceRanges, Set, ShardKey, TimeMs, UpstreamName,
    ZoneName,
};
use std::sync::Arc;

/// Names one request for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A request that needs an upstream.
#[derive(Clone, Debug)]
pub struct Request {
    /// Names the request.
    pub id: RequestId,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that was chosen for an earlier attempt.
    pub service: Option<ServiceName>,
    /// The key, if the caller named one.
    pub key: Option<ShardKey>,
    /// When it is of no more use to wait.
    pub give_up_at: TimeMs,
    /// Upstreams that had the request before.
    pub avoid: Vec<UpstreamName>,
    /// Whether an upstream was sent the request before, so that the next arrival draws on the
    /// budget.
    pub is_repeat: bool,
}

/// How a request ended at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// A success.
    Served,
    /// The upstream ran the request and answered with a failure.
    Failed,
    /// The upstream refused the request without running it.
    Shed,
    /// The upstream does not hold the key.
    NotHeld,
    /// Another upstream has the address.
    Replaced,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke during an answer, or the answer cannot be used.
    Broken,
    /// The connection ended after the request and before any byte of an answer: the upstream
    /// crashed, or has more connections than it takes.
    Reset,
    /// There was no answer in time.
    TimedOut,
    /// The caller went away or the request was not sent.
    Dropped,
}

impl Verdict {
    /// Returns whether the upstream has said that it did not run the request.
    pub const fn is_refusal(self) -> bool {
        matches!(self, Self::Shed | Self::NotHeld | Self::Replaced)
    }
}

/// Why a request gets no upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// No upstream of the service is known.
    NoUpstream,
    /// The key has no owner that takes requests.
    NoOwner,
    /// The upstreams have as much as they can do in time.
    Busy,
    /// The budget for repeats is spent.
    Budget,
}

impl Refusal {
    /// Returns the text used in log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoUpstream => "no-upstream",
            Self::NoOwner => "no-owner",
            Self::Busy => "busy",
            Self::Budget => "retry-budget",
        }
    }
}

/// What the pool believes of the deployment.
#[derive(Clone, Debug)]
pub struct ClusterState {
    /// The configuration.
    pub table: Arc<RouteTable>,
    /// The upstreams.
    pub upstreams: Arc<Upstreams>,
    /// The owners of keys.
    pub ranges: Map<ServiceName, Arc<ServiceRanges>>,
    /// The tokens of moving keys whose next owner has them already.
    pub moved: Map<ServiceName, Arc<Set<FencingToken>>>,
    /// Daemons that share the upstreams, this one included.
    pub daemons: u32,
}

/// What the pool is told.
#[derive(Debug)]
pub enum PoolInput {
    /// A request needs an upstream.
    Request(Request),
    /// A request that waits is no longer wanted.
    Cancel(RequestId),
    /// A request has ended at an upstream.
    Done {
        /// The upstream.
        upstream: Arc<DiscoveredUpstream>,
        /// The route.
        route: Arc<Route>,
        /// How it ended.
        verdict: Verdict,
        /// The time from sending to the answer in milliseconds.
        took_ms: u64,
    },
    /// The budget for repeats has changed.
    Budget(BudgetTerms),
    /// The beliefs have changed.
    Cluster(ClusterState),
    /// Time has passed.
    Tick,
}

/// What the pool decides.
#[derive(Debug)]
pub enum PoolOutput {
    /// The request goes to an upstream.
    Send {
        /// The request.
        id: RequestId,
        /// The service.
        service: ServiceName,
        /// The upstream.
        upstream: Arc<DiscoveredUpstream>,
    },
    /// The request is not run.
    Refuse {
        /// The request.
        id: RequestId,
        /// Why.
        refusal: Refusal,
        /// When it makes sense to come back, in milliseconds.
        retry_after_ms: u64,
    },
}

/// What a pool is made with.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// The zone of this daemon.
    pub zone: ZoneName,
    /// The budget for repeats.
    pub budget: BudgetTerms,
}
