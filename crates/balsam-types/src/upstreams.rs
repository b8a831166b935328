//! What upstreams say of themselves.

use crate::{ServiceName, UpstreamName, ZoneName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// One life of an upstream: the moment of its start in milliseconds of Unix time.
///
/// An upstream that starts again under its old name owns nothing of what it owned before.
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

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UpstreamState {
    /// The upstream takes new work.
    Ready,
    /// The upstream finishes its work and leaves.
    Draining,
}

/// An upstream's entry in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// The name.
    pub name: UpstreamName,
    /// The life that wrote the entry.
    pub born: StartTime,
    /// The service.
    pub service: ServiceName,
    /// The zone.
    pub zone: ZoneName,
    /// Where work and orders are sent.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// How much longer it is slow after its start, in milliseconds from when the entry was read.
    pub warmup_left_ms: u64,
}

/// An upstream's entry as one row of the platform's table holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRow {
    /// The version that the store gave the row; newer rows have higher ones.
    pub version: u64,
    /// The entry.
    pub entry: UpstreamEntry,
}

impl UpstreamEntry {
    /// Returns whether the upstream takes new work.
    pub fn is_ready(&self) -> bool {
        self.state == UpstreamState::Ready
    }
}
