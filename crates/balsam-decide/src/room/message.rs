//! Messages between daemons that need permits and the keepers that grant them.

use crate::pace::PaceOutcome;
use balsam_types::{ServiceName, StartTime, UpstreamName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identifies a request for a permit. It is unique among the requests of a daemon, also after a
/// restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PermitId(pub u64);

/// A group of upstreams that have the same keeper: a part of the upstreams of a service in a zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupId {
    /// The service.
    pub service: ServiceName,
    /// The availability zone of the upstreams.
    pub zone: ZoneName,
    /// The part, from 0. Large services are divided by a hash of the upstreams' names.
    pub part: u16,
}

/// Which upstreams may run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitScope {
    /// Only the owner of the key.
    Owner(UpstreamName),
    /// Any upstream of the group, except those to which the request was sent before.
    Any {
        /// Upstreams that must not be chosen.
        avoid: Vec<UpstreamName>,
    },
}

/// A request for the permission to send one request to an upstream. Times are counted from the
/// moment at which the message is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Identifies the request.
    pub id: PermitId,
    /// The group of upstreams.
    pub group: GroupId,
    /// The upstreams of the group that may run the request.
    pub scope: PermitScope,
    /// The rank of the request; 0 is the most urgent.
    pub rank: u32,
    /// The rest of the latency objective, in milliseconds; 0 if it is over.
    pub objective_left_ms: u32,
    /// The time until the request is given up, in milliseconds.
    pub deadline_left_ms: u32,
    /// The usual response time of such requests, in milliseconds, or 0 if it is not known.
    pub usual_ms: u32,
}

/// Why a keeper refuses a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PermitRefusal {
    /// The work ahead leaves no time to run the request before its deadline.
    Busy,
    /// The queue is full.
    QueueFull,
    /// The upstreams pause, leave or are cold for longer than the request can wait.
    Paused,
    /// The keeper does not know the group, or is not its keeper.
    NotKept,
}

/// The answer to a [`PermitRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitAnswer {
    /// The request may be sent to this upstream, once.
    Granted {
        /// The upstream.
        upstream: UpstreamName,
        /// The start time of the run of the upstream that may get it.
        born: StartTime,
    },
    /// The request waits; another answer follows.
    Queued {
        /// The expected time until then, in milliseconds.
        wait_ms: u32,
    },
    /// The request must not be sent with the keeper's consent.
    Refused {
        /// Why.
        refusal: PermitRefusal,
        /// When there will be room for it, in milliseconds from now.
        retry_after_ms: u32,
    },
}

/// The load of a group at its keeper, which rides on answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomLoad {
    /// The number of requests that could be sent at once.
    pub free: u16,
    /// The expected wait of a request of the asked rank, in milliseconds.
    pub wait_ms: u32,
}

/// The load that an upstream tells in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The number of requests that run.
    pub running: u32,
    /// The number of requests that wait at the upstream.
    pub waiting: u32,
    /// The number of slots.
    pub slots: u32,
    /// How long work takes on the upstream's machine at this moment, in percent of the usual time.
    pub slowness_percent: Option<u32>,
}

/// The return of a permit, used or not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReturn {
    /// The permit.
    pub id: PermitId,
    /// How the request ended.
    pub outcome: PaceOutcome,
    /// How long the upstream wants no requests, in milliseconds.
    pub pause_ms: Option<u64>,
    /// The load that the upstream told.
    pub load: Option<UpstreamLoad>,
}

/// A message between a daemon and a keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RoomMessage {
    /// A daemon asks for a permit.
    Ask(PermitRequest),
    /// The keeper answers.
    Answer {
        /// The request for a permit.
        id: PermitId,
        /// The answer.
        answer: PermitAnswer,
        /// The load of the group.
        load: RoomLoad,
        /// Returns of the daemon that have arrived since the last answer to it.
        acknowledged: Vec<PermitId>,
    },
    /// A daemon returns permits, or withdraws requests for them. Repeated until acknowledged.
    Return(Vec<PermitReturn>),
    /// The keeper has received returns and has no answer to send with this.
    Acknowledge(Vec<PermitId>),
}

/// A daemon that keeps the room of upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperDaemon {
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its strength relative to other daemons, from 1 to 100.
    pub weight: u16,
}

/// The daemons that keep the room of upstreams, as the leader has published them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperList {
    /// The version of the leader row under which the list was published.
    pub lead: u64,
    /// The number of the list among those of this leader.
    pub number: u64,
    /// The keepers, sorted by address.
    pub keepers: Vec<KeeperDaemon>,
}
