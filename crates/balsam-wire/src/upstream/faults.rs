//! Fault injection in the upstream stand-in.

use serde::{Deserialize, Serialize};

/// A fault in a single response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerFault {
    /// The response belongs to another request.
    Crossed,
    /// The connection is closed after part of the body.
    CutAfter {
        /// The number of body bytes sent before the close.
        bytes: u64,
    },
    /// The response is delayed after the request has run.
    Delayed {
        /// The delay in milliseconds.
        delay_ms: u64,
    },
}

/// The injected faults of the upstream stand-in. A new value replaces all previous ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct UpstreamFaults {
    /// The fault of upcoming responses.
    pub answers: Option<AnswerFault>,
    /// The number of upcoming responses with the fault.
    pub answer_count: u32,
    /// The age of the health and load reports, in milliseconds.
    pub report_lag_ms: u64,
    /// Whether health always reports ready, and load always reports idle.
    pub reports_mislead: bool,
    /// Whether grants and revocations get no response.
    pub ignore_control: bool,
}
