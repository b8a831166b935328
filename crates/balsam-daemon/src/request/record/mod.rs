//! The filter that writes the log line and the metrics of each request.

use super::clock::now;
use crate::logging;
use crate::metrics::Metrics;
use balsam_types::{
    MemberName, Outcome, RankName, RequestHead, ServiceName, TimeMs, UnitId, UpstreamName,
};
use serde::Serialize;
use std::sync::Arc;
use std::time::Instant;

/// How a request reached its dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Via {
    /// The request was not routed.
    #[default]
    None,
    /// This daemon dispatches for the upstream.
    Local,
    /// Another daemon dispatches for the upstream.
    Relay,
}

/// The decision log line of a request.
#[derive(Debug, Serialize)]
#[serde(tag = "kind", rename = "request")]
struct RequestLine<'a> {
    service: &'a ServiceName,
    rank: &'a RankName,
    member: &'a MemberName,
    key: &'a str,
    unit: Option<UnitId>,
    upstream: Option<&'a UpstreamName>,
    via: Via,
    attempts: u32,
    outcome: Outcome,
    caller_left: bool,
    latency_ms: f64,
}

/// Collects the details of a request and records it once, when it finishes or when the recorder is
/// dropped.
#[derive(Debug)]
pub(crate) struct Recorder {
    metrics: Metrics,
    service: ServiceName,
    rank: RankName,
    member: MemberName,
    key: Arc<str>,
    started: Instant,
    /// The unit of the last attempt's key.
    pub(crate) unit: Option<UnitId>,
    /// The upstream to which the last attempt was routed.
    pub(crate) upstream: Option<UpstreamName>,
    /// How the last attempt reached its dispatcher.
    pub(crate) via: Via,
    /// The number of attempts so far.
    pub(crate) attempts: u32,
    /// The outcome to record if the recorder is dropped because the caller disconnected.
    pub(crate) outcome_if_dropped: Outcome,
    is_recorded: bool,
}

impl Recorder {
    /// Creates the recorder of an identified request.
    pub(crate) fn new(metrics: Metrics, head: &RequestHead, started: Instant) -> Self {
        Self {
            metrics,
            service: head.service.clone(),
            rank: head.rank.clone(),
            member: head.member.clone(),
            key: Arc::clone(&head.key.text),
            started,
            unit: None,
            upstream: None,
            via: Via::None,
            attempts: 0,
            outcome_if_dropped: Outcome::NotRun(balsam_types::NotRunReason::Cancelled),
            is_recorded: false,
        }
    }

    /// Records the outcome of the request. Later calls are ignored.
    pub(crate) fn finish(&mut self, outcome: Outcome) {
        self.write(outcome, false);
    }

    fn write(&mut self, outcome: Outcome, caller_left: bool) {
        if self.is_recorded {
            return;
        }
        self.is_recorded = true;
        let latency_ms = self.started.elapsed().as_secs_f64() * 1_000.0;
        self.metrics
            .request(&self.service, &self.rank, outcome, latency_ms);
        logging::decision(&RequestLine {
            service: &self.service,
            rank: &self.rank,
            member: &self.member,
            key: &self.key,
            unit: self.unit,
            upstream: self.upstream.as_ref(),
            via: self.via,
            attempts: self.attempts,
            outcome,
            caller_left,
            latency_ms,
        });
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.write(self.outcome_if_dropped, true);
    }
}

/// The decision log line of a request that could not be identified.
#[derive(Debug, Serialize)]
#[serde(tag = "kind", rename = "refused-request")]
struct RefusedLine<'a> {
    target: &'a str,
    outcome: Outcome,
    time_ms: TimeMs,
}

/// Logs a request that could not be identified.
pub(crate) fn refused(target: &str, outcome: Outcome) {
    logging::decision(&RefusedLine {
        target,
        outcome,
        time_ms: now(),
    });
}
