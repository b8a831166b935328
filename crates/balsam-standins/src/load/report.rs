//! The report of one run.

use balsam_types::{MemberName, RankName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The results of one member, or of all members of a rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Scheduled requests.
    pub scheduled: u64,
    /// Requests with a whole answer.
    pub answered: u64,
    /// Requests with a whole answer within the deadline.
    pub in_deadline: u64,
    /// Requests reported as not run.
    pub not_run: u64,
    /// Requests reported as unknown.
    pub unknown: u64,
    /// Requests with another answer, a part of one or none.
    pub failed: u64,
    /// Requests that the generator did not send because it held too many.
    pub not_sent: u64,
    /// The number of requests by the reason that callers were given.
    pub reasons: BTreeMap<String, u64>,
    /// The share of the scheduled requests that were answered within the deadline, from 0 to 1.
    pub share_kept: f64,
    /// Median latency of the answered requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of the answered requests, in milliseconds.
    pub p99_ms: f64,
    /// Longest latency of the answered requests, in milliseconds.
    pub max_ms: f64,
    /// 99th percentile of the time by which the generator sent late, in milliseconds.
    ///
    /// It is a part of the latencies; near a latency target it must be small against the target.
    pub send_delay_p99_ms: f64,
}

/// The results of one rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankReport {
    /// All requests of the rank.
    pub all: MemberReport,
    /// Jain's index of the shares that the members kept, from 1 / members (unfair) to 1 (fair).
    pub jain_index: f64,
    /// The results of each member.
    pub members: BTreeMap<MemberName, MemberReport>,
}

/// The results of one run, written as one JSON line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The name of the run.
    pub name: String,
    /// The seed of the arrival times and keys.
    pub seed: u64,
    /// How long the run took, in milliseconds.
    pub elapsed_ms: u64,
    /// The results of each rank.
    pub ranks: BTreeMap<RankName, RankReport>,
}

/// Returns Jain's fairness index of `shares`: 1 if all are equal, 1 / n if one has all.
///
/// Shares that are all zero are equal, so their index is 1.
pub fn jain_index(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (shares.len() as f64 * squares)
}
