//! Responses that describe the state of an entry daemon.

use balsam_types::{
    DaemonName, FencingToken, KeyRange, ServiceName, ShardKey, StartTime, UpstreamEntry,
    UpstreamName, UpstreamState, ZoneName,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The response to `GET /v1/entry`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryResponse {
    /// The responding daemon.
    pub daemon: DaemonName,
    /// Whether the daemon can serve requests.
    pub is_ready: bool,
    /// The version of the configuration in force.
    pub config_version: Option<u64>,
    /// How long this daemon has used that version, in milliseconds.
    pub config_for_ms: Option<u64>,
    /// The age of the daemon's copy of the store's tables, in milliseconds.
    pub knowledge_age_ms: u64,
    /// The leader, which assigns keys to upstreams, if it is known.
    pub leader: Option<DaemonName>,
    /// The number of daemons in the deployment, including this one.
    pub daemons: u32,
    /// The number of upstreams that the daemon believes to exist.
    pub upstreams: u64,
    /// The number of requests that are rejected because they crashed upstreams.
    pub suspects: u64,
}

/// The response to `GET /v1/entry/owner`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryOwnerResponse {
    /// The service.
    pub service: ServiceName,
    /// The shard key.
    pub key: ShardKey,
    /// The range that contains the key.
    pub range: KeyRange,
    /// The upstream that owns the range.
    pub upstream: UpstreamName,
    /// The start time of the upstream process in milliseconds of Unix time.
    pub born: StartTime,
    /// The address of the upstream.
    pub address: SocketAddr,
    /// The fencing token of the owner's grants.
    pub fence: FencingToken,
    /// Former owners that may still hold the key, which is served only when this list is empty.
    pub former: Vec<UpstreamName>,
    /// Whether the daemon believes that the owner is running.
    pub is_believed: bool,
    /// The age of the daemon's copy of the store's tables, in milliseconds.
    pub knowledge_age_ms: u64,
}

/// The response to `GET /v1/entry/upstreams`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryUpstreamsResponse {
    /// The age of the daemon's copy of the store's tables, in milliseconds.
    pub knowledge_age_ms: u64,
    /// The upstreams, sorted by name.
    pub upstreams: Vec<EntryUpstreamBody>,
}

/// An upstream that the daemon believes to exist.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryUpstreamBody {
    /// The name of the upstream.
    pub name: UpstreamName,
    /// The service that the upstream serves.
    pub service: ServiceName,
    /// The availability zone of the upstream.
    pub zone: ZoneName,
    /// The address of the upstream.
    pub address: SocketAddr,
    /// The number of requests that the upstream can run concurrently.
    pub slots: u32,
    /// Whether the upstream accepts new work.
    pub state: UpstreamState,
    /// The start time of the upstream process in milliseconds of Unix time.
    pub born: StartTime,
    /// The number of key ranges that the upstream owns.
    pub ranges: u64,
}

impl EntryUpstreamBody {
    /// Creates the body for an upstream that owns `ranges` key ranges.
    pub fn new(entry: &UpstreamEntry, ranges: u64) -> Self {
        Self {
            name: entry.name.clone(),
            service: entry.service.clone(),
            zone: entry.zone.clone(),
            address: entry.address,
            slots: entry.slots,
            state: entry.state,
            born: entry.born,
            ranges,
        }
    }
}
