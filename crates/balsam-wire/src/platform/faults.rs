//! Fault injection and counters of the platform stand-in.

use serde::{Deserialize, Serialize};

/// The kind of simulated platform outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageKind {
    /// The platform responds normally.
    #[default]
    None,
    /// Requests are read but never answered.
    Silent,
    /// Requests are rejected with status 503 and have no effect.
    Refused,
}

/// The injected faults of the platform stand-in. A new value replaces all previous ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// The kind of outage.
    pub down: OutageKind,
    /// The delay before each request takes effect, in milliseconds.
    pub delay_ms: u64,
    /// The number of upcoming transactions that take effect but get no response.
    pub lose_answers: u32,
}

/// Counters of the platform stand-in since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// The number of table reads.
    pub reads: u64,
    /// The number of transactions, whether committed or not.
    pub writes: u64,
    /// The number of transactions that were not committed because a condition did not hold.
    pub conflicts: u64,
    /// The number of object reads.
    pub object_reads: u64,
    /// The number of object writes.
    pub object_writes: u64,
    /// The number of reads of the instance list.
    pub instance_reads: u64,
    /// The number of requests that an injected fault rejected or left unanswered.
    pub faulted: u64,
}
