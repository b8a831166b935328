//! Inputs and outputs of the [`Pool`](super::Pool).

use super::ask::EndReport;
use super::permits::Permit;
use crate::budget::BudgetTerms;
use crate::directory::{DiscoveredUpstream, Upstreams};
use crate::evacuation::EvacuatedZones;
use crate::room::{KeeperList, RoomMessage};
use crate::routing::RouteTable;
use balsam_types::{
    FencingToken, Map, Route, ServiceName, ServiceRanges, Set, ShardKey, TimeMs, UpstreamName,
    ZoneName,
};
use std::net::SocketAddr;
use std::sync::Arc;

/// Identifies one attempt of a request at the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A request that needs an upstream for its next attempt.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifies the request in the [`PoolOutput`] that sends or refuses it.
    pub id: RequestId,
    /// The route that the request matched.
    pub route: Arc<Route>,
    /// The service that was chosen for an earlier attempt.
    pub service: Option<ServiceName>,
    /// The shard key, if the caller sent one.
    pub key: Option<ShardKey>,
    /// When the daemon received the request.
    pub received_at: TimeMs,
    /// The time until which the caller waits.
    pub caller_deadline: TimeMs,
    /// The time after which the request is given up.
    pub give_up_at: TimeMs,
    /// Upstreams that received earlier attempts of the request.
    pub avoid: Vec<UpstreamName>,
    /// Whether the request was already sent to an upstream, so that this attempt counts against the
    /// retry budget.
    pub is_repeat: bool,
}

/// The outcome of one attempt at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The upstream executed the request successfully.
    Served,
    /// The upstream executed the request and reported a failure.
    Failed,
    /// The upstream refused the request without executing it.
    Shed,
    /// The upstream refused the request because it does not hold the key.
    NotHeld,
    /// Another upstream responds at the address.
    Replaced,
    /// No connection could be opened.
    Unreachable,
    /// The upstream has reset a new connection before the request was sent on it, because it has too
    /// many connections.
    Surplus,
    /// The connection broke during the response, or the response is invalid.
    Broken,
    /// The connection ended after the request was sent and before the first byte of the response:
    /// the upstream crashed, or it has too many connections.
    Reset,
    /// No response came in time.
    TimedOut,
    /// The caller disconnected or the request was not sent.
    Dropped,
    /// The upstream announced that it leaves or pauses before the request was sent to it.
    Withdrawn,
}

/// What an upstream announces about itself in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// Whether it leaves, so that it should get no more requests.
    pub is_leaving: bool,
    /// How long it wants no requests of this daemon, in milliseconds.
    pub pause_ms: Option<u64>,
}

impl Verdict {
    /// Returns whether the upstream has stated that it did not execute the request.
    pub const fn is_refusal(self) -> bool {
        matches!(self, Self::Shed | Self::NotHeld | Self::Replaced)
    }
}

/// Why the pool refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// No upstream of the service is known.
    NoUpstream,
    /// The key has no owner that accepts requests.
    NoOwner,
    /// All suitable upstreams are at their limit, and none is expected to be free in time.
    Busy,
    /// The retry budget is exhausted.
    Budget,
    /// All suitable upstreams have announced a pause, or that they leave.
    Announced,
    /// All suitable upstreams are in evacuated zones.
    Evacuated,
}

impl Refusal {
    /// Returns the text used in log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoUpstream => "no-upstream",
            Self::NoOwner => "no-owner",
            Self::Busy => "busy",
            Self::Budget => "retry-budget",
            Self::Announced => "announced",
            Self::Evacuated => "evacuated",
        }
    }
}

/// The state of the deployment that decisions of the pool depend on.
#[derive(Clone, Debug)]
pub struct ClusterState {
    /// The routing configuration.
    pub table: Arc<RouteTable>,
    /// The known upstreams.
    pub upstreams: Arc<Upstreams>,
    /// The owners of keys, by service.
    pub ranges: Map<ServiceName, Arc<ServiceRanges>>,
    /// Fencing tokens of moving ranges whose next owner already holds their keys, by service.
    pub moved: Map<ServiceName, Arc<Set<FencingToken>>>,
    /// Number of daemons that share the upstreams, this one included.
    pub daemons: u32,
    /// The daemons that keep the room of upstreams; empty if none is known.
    pub keepers: Arc<KeeperList>,
    /// The zones whose upstreams get no requests.
    pub evacuated: Arc<EvacuatedZones>,
}

/// Inputs of the [`Pool`](super::Pool).
#[derive(Debug)]
pub enum PoolInput {
    /// A request needs an upstream.
    Request(Request),
    /// A queued request is no longer wanted.
    Cancel(RequestId),
    /// An upstream has announced something about itself.
    Notice {
        /// The upstream.
        upstream: Arc<DiscoveredUpstream>,
        /// What it announced.
        notice: UpstreamNotice,
    },
    /// An attempt has ended.
    Done {
        /// The upstream.
        upstream: Arc<DiscoveredUpstream>,
        /// The route.
        route: Arc<Route>,
        /// The outcome of the attempt.
        verdict: Verdict,
        /// The time from sending the request to the response, in milliseconds.
        took_ms: u64,
        /// The permit under which the request was sent, which ends.
        permit: Option<Permit>,
        /// What the upstream has told.
        report: EndReport,
    },
    /// A keeper has sent a message.
    Room {
        /// Where the keeper receives datagrams.
        from: SocketAddr,
        /// The message.
        message: RoomMessage,
    },
    /// The retry budget has changed.
    Budget(BudgetTerms),
    /// The state of the deployment has changed.
    Cluster(ClusterState),
    /// Time has passed; queued requests may be sent or refused.
    Tick,
}

/// Outputs of the [`Pool`](super::Pool).
#[derive(Debug)]
pub enum PoolOutput {
    /// Send the request to an upstream.
    Send {
        /// The request.
        id: RequestId,
        /// The service.
        service: ServiceName,
        /// The upstream.
        upstream: Arc<DiscoveredUpstream>,
        /// Whether the upstream has reset connections a short time ago. A request must not be sent
        /// on a new one at once: if the upstream resets it, the request may have run.
        resets_connections: bool,
        /// The permit for the request, if a keeper has granted one.
        permit: Option<Permit>,
    },
    /// Send a message to a keeper, which may be this daemon.
    Room {
        /// Where the keeper receives datagrams.
        keeper: SocketAddr,
        /// The message.
        message: RoomMessage,
    },
    /// Requests that were assigned to an upstream and have not been sent to it need another one.
    Withdraw {
        /// The upstream.
        upstream: Arc<DiscoveredUpstream>,
        /// What it announced.
        notice: UpstreamNotice,
    },
    /// Refuse the request without sending it.
    Refuse {
        /// The request.
        id: RequestId,
        /// Why it is refused.
        refusal: Refusal,
        /// When the caller should retry, in milliseconds from now.
        retry_after_ms: u64,
    },
}

/// Settings of a pool.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// The availability zone of this daemon.
    pub zone: ZoneName,
    /// The retry budget.
    pub budget: BudgetTerms,
    /// How long a leaving upstream takes requests that no other one can run, in milliseconds.
    pub drain_ms: u64,
    /// A number that differs between daemons, so that they do not resume at the same moment.
    pub seed: u64,
    /// Number of daemons for each slot of an upstream from which on keepers are asked for permits; 0
    /// if they never are.
    pub room_daemons_per_slot: u32,
    /// The number before that of the first permit that is asked for. It should differ between the
    /// lives of a daemon.
    pub first_permit_id: u64,
}
