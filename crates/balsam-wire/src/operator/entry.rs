//! What an entry daemon believes.

use balsam_types::{
    DaemonName, FencingToken, KeyRange, ServiceName, ShardKey, StartTime, UpstreamEntry,
    UpstreamName, UpstreamState, ZoneName,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The answer of `GET /v1/entry`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryResponse {
    /// The answering daemon.
    pub daemon: DaemonName,
    /// Whether it can serve requests.
    pub is_ready: bool,
    /// The version of the configuration in force.
    pub config_version: Option<u64>,
    /// How long that version has been in force here, in milliseconds.
    pub config_for_ms: Option<u64>,
    /// How old the daemon's knowledge of the store's tables is, in milliseconds.
    pub knowledge_age_ms: u64,
    /// The daemon that assigns keys, if one is known.
    pub leader: Option<DaemonName>,
    /// Daemons of the deployment, this one included.
    pub daemons: u32,
    /// Upstreams that are believed to exist.
    pub upstreams: u64,
    /// Requests that are refused because they crashed upstreams.
    pub suspects: u64,
}

/// The answer of `GET /v1/entry/owner`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryOwnerResponse {
    /// The service.
    pub service: ServiceName,
    /// The key.
    pub key: ShardKey,
    /// The range that has the key.
    pub range: KeyRange,
    /// The owner.
    pub upstream: UpstreamName,
    /// The moment of its start in Unix milliseconds.
    pub born: StartTime,
    /// Its address.
    pub address: SocketAddr,
    /// The token of its grants.
    pub fence: FencingToken,
    /// Former owners that may still hold the key; it is served once there are none.
    pub former: Vec<UpstreamName>,
    /// Whether the daemon believes that the owner runs.
    pub is_believed: bool,
    /// How old the daemon's knowledge of the store's tables is, in milliseconds.
    pub knowledge_age_ms: u64,
}

/// The answer of `GET /v1/entry/upstreams`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryUpstreamsResponse {
    /// How old the daemon's knowledge of the store's tables is, in milliseconds.
    pub knowledge_age_ms: u64,
    /// The upstreams in the order of their names.
    pub upstreams: Vec<EntryUpstreamBody>,
}

/// An upstream that is believed to exist.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryUpstreamBody {
    /// Its name.
    pub name: UpstreamName,
    /// Its service.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its address.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// The moment of its start in Unix milliseconds.
    pub born: StartTime,
    /// Ranges of keys that it owns.
    pub ranges: u64,
}

impl EntryUpstreamBody {
    /// Makes the body of an upstream that owns so many ranges.
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
