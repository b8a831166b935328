//! What the generator sends.

use balsam_types::{MemberName, RankName, ServiceName};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// The largest rate of a stream, in requests per second.
const RATE_MAX: f64 = 1_000_000.0;
/// The longest run in milliseconds, so that no load runs on unnoticed.
const RUN_MAX_MS: u64 = 3_600_000;

/// A plan that cannot be used.
#[derive(Debug, Snafu)]
pub enum PlanError {
    /// The text is not a plan in JSON.
    #[snafu(display("plan: {source}"))]
    Json {
        /// What is wrong.
        source: serde_json::Error,
    },
    /// A value lies outside its range.
    #[snafu(display("{field}: {value} (accepted: {accepted})"))]
    Range {
        /// The field.
        field: &'static str,
        /// The refused value.
        value: String,
        /// The accepted range.
        accepted: String,
    },
}

/// The kind of a stream's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyChoice {
    /// The number of keys, drawn evenly; at least 1.
    pub keys: u64,
    /// The number of hot keys; 0 for none.
    #[serde(default)]
    pub hot_keys: u64,
    /// The share of requests on hot keys, in percent.
    #[serde(default)]
    pub hot_percent: u64,
    /// The time after which other keys become hot, in milliseconds; 0 for never.
    #[serde(default)]
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
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
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
    #[serde(default)]
    pub from_ms: u64,
    /// When it ends, in milliseconds from the start of the run.
    pub until_ms: u64,
    /// The deadline of each request, in milliseconds.
    pub deadline_ms: u64,
}

/// One run of the generator.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
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

impl LoadPlan {
    /// Reads a plan from JSON and checks its values.
    ///
    /// # Errors
    ///
    /// Returns a [`PlanError`] for the first value that is not accepted.
    pub fn from_json(text: impl AsRef<str>) -> Result<Self, PlanError> {
        let plan: Self = serde_json::from_str(text.as_ref()).context(JsonSnafu)?;
        check("targets", plan.targets.len(), 1..=10_000)?;
        check("connections", plan.connections, 1..=100_000)?;
        check("in_flight", plan.in_flight, 1..=1_000_000)?;
        for stream in &plan.streams {
            stream.check()?;
        }
        Ok(plan)
    }
}

impl LoadStream {
    fn check(&self) -> Result<(), PlanError> {
        check("rate", self.rate, 0.0..=RATE_MAX)?;
        check("until_ms", self.until_ms, self.from_ms..=RUN_MAX_MS)?;
        check("deadline_ms", self.deadline_ms, 1..=RUN_MAX_MS)?;
        check("keys.keys", self.keys.keys, 1..=u64::MAX)?;
        check("keys.hot_percent", self.keys.hot_percent, 0..=100)
    }
}

fn check<T: Copy + PartialOrd + Display>(
    field: &'static str,
    value: T,
    range: RangeInclusive<T>,
) -> Result<(), PlanError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(PlanError::Range {
        field,
        value: value.to_string(),
        accepted: format!("{} to {}", range.start(), range.end()),
    })
}
