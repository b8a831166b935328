//! Fault switches of the upstream's stand-in.

use serde::{Deserialize, Serialize};

/// A fault of one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerFault {
    /// The answer belongs to another request.
    Crossed,
    /// The connection is closed after this many bytes of the body.
    CutAfter {
        /// The bytes that are sent.
        bytes: u64,
    },
    /// The answer is delayed after the work is done.
    Delayed {
        /// The delay in milliseconds.
        delay_ms: u64,
    },
}

/// The faults of the upstream's stand-in; a new value replaces all former switches.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct UpstreamFaults {
    /// The fault of the coming answers.
    pub answers: Option<AnswerFault>,
    /// The number of coming answers that have the fault.
    pub answer_count: u32,
    /// How old the health and load reports are, in milliseconds.
    pub report_lag_ms: u64,
    /// Whether health always reports ready, and load always reports idle.
    pub reports_mislead: bool,
    /// Whether grants and revocations are left without an answer.
    pub ignore_control: bool,
}
