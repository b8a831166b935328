//! Fault switches and counters of the platform's stand-in.

use serde::{Deserialize, Serialize};

/// Whether the platform is out of service, and how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageKind {
    /// The platform answers.
    #[default]
    None,
    /// Requests are read and never answered.
    Silent,
    /// Requests are answered with 503 and have no effect.
    Refused,
}

/// The faults of the platform's stand-in; a new value replaces all former switches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Whether the platform is out of service.
    pub down: OutageKind,
    /// Delay before each request takes effect, in milliseconds.
    pub delay_ms: u64,
    /// The number of coming transactions that take effect without an answer.
    pub lose_answers: u32,
}

/// What the platform's stand-in has served since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// Table reads.
    pub reads: u64,
    /// Transactions, committed or not.
    pub writes: u64,
    /// Transactions that did not commit because of a condition.
    pub conflicts: u64,
    /// Object reads.
    pub object_reads: u64,
    /// Object writes.
    pub object_writes: u64,
    /// Reads of the instance list.
    pub instance_reads: u64,
    /// Requests that were refused or left without an answer by a fault switch.
    pub faulted: u64,
}
