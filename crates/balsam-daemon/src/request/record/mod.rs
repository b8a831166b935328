//! The filter that records how a request ended.

use super::clock::now;
use crate::logging;
use crate::metrics::Metrics;
use balsam_types::{
    MemberName, Outcome, RankName, RequestHead, ServiceName, TimeMs, UnitId, UpstreamName,
};
use serde::Serialize;
use std::sync::Arc;
use std::time::Instant;

/// How a request's route was chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Via {
    /// The request was never routed.
    #[default]
    None,
    /// This daemon dispatches for the upstream.
    Local,
    /// Another daemon dispatches for the upstream.
    Relay,
}

/// The log line of a request.
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

/// Collects what is known of a request and records it once, at the latest when it is dropped.
#[derive(Debug)]
pub(crate) struct Recorder {
    metrics: Metrics,
    service: ServiceName,
    rank: RankName,
    member: MemberName,
    key: Arc<str>,
    started: Instant,
    /// The unit of the last attempt.
    pub(crate) unit: Option<UnitId>,
    /// The upstream of the last attempt.
    pub(crate) upstream: Option<UpstreamName>,
    /// The route of the last attempt.
    pub(crate) via: Via,
    /// The attempts so far.
    pub(crate) attempts: u32,
    /// What the request's end will be recorded as if the caller leaves now.
    pub(crate) if_left: Outcome,
    is_recorded: bool,
}

impl Recorder {
    /// Starts the record of an identified request.
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
            if_left: Outcome::NotRun(balsam_types::NotRunReason::Cancelled),
            is_recorded: false,
        }
    }

    /// Records the end of the request; later calls are ignored.
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
        self.write(self.if_left, true);
    }
}

/// The log line of a request that could not be identified.
#[derive(Debug, Serialize)]
#[serde(tag = "kind", rename = "refused-request")]
struct RefusedLine<'a> {
    target: &'a str,
    outcome: Outcome,
    time_ms: TimeMs,
}

/// Records a request that could not be identified.
pub(crate) fn refused(target: &str, outcome: Outcome) {
    logging::decision(&RefusedLine {
        target,
        outcome,
        time_ms: now(),
    });
}
