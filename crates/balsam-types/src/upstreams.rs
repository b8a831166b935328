//! Entries that upstreams publish about themselves.

use crate::{ServiceName, UpstreamName, ZoneName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// The start time of an upstream process in milliseconds of Unix time, which identifies the run.
///
/// A restarted upstream keeps its name but owns none of the keys of its earlier run.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StartTime(pub u64);

impl fmt::Display for StartTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Whether an upstream accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UpstreamState {
    /// The upstream accepts new work.
    Ready,
    /// The upstream finishes its running requests and then leaves.
    Draining,
}

/// An upstream's entry in the upstreams table of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// The name of the upstream.
    pub name: UpstreamName,
    /// The start time of the process that wrote the entry.
    pub born: StartTime,
    /// The service that the upstream serves.
    pub service: ServiceName,
    /// The availability zone of the upstream.
    pub zone: ZoneName,
    /// The address for requests, grants and releases.
    pub address: SocketAddr,
    /// The number of requests that the upstream can run concurrently.
    pub slots: u32,
    /// Whether the upstream accepts new work.
    pub state: UpstreamState,
    /// The remaining warm-up time, in milliseconds from the moment the entry was read. The upstream
    /// is slower than usual until then.
    pub warmup_left_ms: u64,
}

/// An upstream's entry together with the version of its row in the upstreams table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRow {
    /// The row version assigned by the store; newer rows have higher versions.
    pub version: u64,
    /// The decoded entry.
    pub entry: UpstreamEntry,
}

impl UpstreamEntry {
    /// Returns whether the upstream accepts new work.
    pub fn is_ready(&self) -> bool {
        self.state == UpstreamState::Ready
    }
}
