//! The execution journal of the upstream stand-in.

use balsam_types::{
    Epoch, Incarnation, KeyHash, MemberName, OrderId, RankName, TimeMs, UnitId, UpstreamName,
};
use serde::{Deserialize, Serialize};

/// Why an execution had no effect or stopped before its last effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AbortCause {
    /// The grant expired or no longer covered the request.
    GrantLapsed,
    /// The deadline passed.
    Deadline,
    /// The caller closed its connection.
    Cancelled,
    /// An injected fault aborted it.
    Fault,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionEnd {
    /// The execution has not ended.
    Running,
    /// The effect took place, and the complete response was produced.
    Committed,
    /// The execution stopped early.
    Aborted {
        /// Why the execution stopped.
        cause: AbortCause,
        /// Whether the effect took place before the execution stopped.
        after_effect: bool,
    },
}

/// One execution of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The key of the request.
    pub key: String,
    /// The hash of the key.
    pub key_hash: KeyHash,
    /// The unit that contains the key according to the sender.
    pub unit: UnitId,
    /// The control epoch of the sender.
    pub epoch: Epoch,
    /// The order id, if there was one.
    pub order_id: Option<OrderId>,
    /// The rank of the request.
    pub rank: Option<RankName>,
    /// The member on whose behalf the request ran.
    pub member: Option<MemberName>,
    /// When the execution started, in milliseconds of `CLOCK_BOOTTIME`.
    pub started_at_ms: TimeMs,
    /// When the execution ended; `None` while it is running.
    pub ended_at_ms: Option<TimeMs>,
    /// The last time its grant was checked and found valid.
    pub last_check_ms: TimeMs,
    /// How the execution ended.
    pub end: ExecutionEnd,
}

/// The response to `GET /journal`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalResponse {
    /// The name of the upstream.
    pub upstream: UpstreamName,
    /// The incarnation of the upstream.
    pub incarnation: Incarnation,
    /// The executions, ordered by start time.
    pub executions: Vec<Execution>,
    /// The number of executions dropped because the journal was full, oldest first.
    pub dropped: u64,
}
