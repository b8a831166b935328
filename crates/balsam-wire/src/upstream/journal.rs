//! The stand-in's journal of executions.

use balsam_types::{
    Epoch, Incarnation, KeyHash, MemberName, OrderId, RankName, TimeMs, UnitId, UpstreamName,
};
use serde::{Deserialize, Serialize};

/// Why an execution had no effect, or stopped before its last effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AbortCause {
    /// The grant no longer covered the request.
    GrantLapsed,
    /// The deadline passed.
    Deadline,
    /// The caller closed its connection.
    Cancelled,
    /// A fault switch ended it.
    Fault,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionEnd {
    /// The execution has not ended.
    Running,
    /// The effect took place, and the whole answer was produced.
    Committed,
    /// The execution stopped early.
    Aborted {
        /// Why.
        cause: AbortCause,
        /// Whether the effect had taken place before.
        after_effect: bool,
    },
}

/// One execution of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The key's text.
    pub key: String,
    /// The key's hash.
    pub key_hash: KeyHash,
    /// The unit that the sender located the key in.
    pub unit: UnitId,
    /// The sender's control epoch.
    pub epoch: Epoch,
    /// The order id, if there was one.
    pub order_id: Option<OrderId>,
    /// The rank of the work.
    pub rank: Option<RankName>,
    /// The member on whose behalf it ran.
    pub member: Option<MemberName>,
    /// When the execution began, in milliseconds of `CLOCK_BOOTTIME`.
    pub started_at_ms: TimeMs,
    /// When it ended; `None` while it runs.
    pub ended_at_ms: Option<TimeMs>,
    /// The last moment at which its grant was checked and found valid.
    pub last_check_ms: TimeMs,
    /// How it ended.
    pub end: ExecutionEnd,
}

/// The answer of `GET /journal`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalResponse {
    /// The upstream's name.
    pub upstream: UpstreamName,
    /// The upstream's incarnation.
    pub incarnation: Incarnation,
    /// Executions in the order of their start.
    pub executions: Vec<Execution>,
    /// Executions that were dropped because the journal was full; the oldest are dropped first.
    pub dropped: u64,
}
