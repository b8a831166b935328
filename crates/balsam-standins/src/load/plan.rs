//! What the generator sends.

use balsam_types::{MemberName, RankName, ServiceName};
use std::net::SocketAddr;

/// The kind of a stream's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// Reads, which may be repeated.
    Read,
    /// Orders, each with an id of its own and a body of this size.
    Order {
        /// The size of the body in bytes.
        body_bytes: usize,
    },
}

/// How the keys of a stream are drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyChoice {
    /// The number of keys, drawn evenly; at least 1.
    pub keys: u64,
    /// The number of hot keys; 0 for none.
    pub hot_keys: u64,
    /// The share of requests on hot keys, in percent.
    pub hot_percent: u64,
    /// The time after which other keys become hot, in milliseconds; 0 for never.
    pub hot_change_ms: u64,
}

impl KeyChoice {
    /// Draws evenly from `keys` keys.
    pub const fn even(keys: u64) -> Self {
        Self {
            keys,
            hot_keys: 0,
            hot_percent: 0,
            hot_change_ms: 0,
        }
    }
}

/// Requests of one rank and member.
#[derive(Clone, Debug)]
pub struct LoadStream {
    /// The service.
    pub service: ServiceName,
    /// The rank.
    pub rank: RankName,
    /// The member.
    pub member: MemberName,
    /// The kind of the requests.
    pub kind: WorkKind,
    /// The keys.
    pub keys: KeyChoice,
    /// Requests per second.
    pub rate: f64,
    /// When the stream begins, in milliseconds from the start of the run.
    pub from_ms: u64,
    /// When it ends, in milliseconds from the start of the run.
    pub until_ms: u64,
    /// The deadline of each request, in milliseconds.
    pub deadline_ms: u64,
}

/// One run of the generator.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The name of the run in its report.
    pub name: String,
    /// The seed of the arrival times and keys.
    pub seed: u64,
    /// The addresses to send to, in turn.
    pub targets: Vec<SocketAddr>,
    /// The streams.
    pub streams: Vec<LoadStream>,
    /// Open connections in all; further requests wait, and their wait counts as latency.
    pub connections: usize,
    /// Requests that are waiting or running; further ones are counted as not sent.
    pub in_flight: usize,
}
