//! The filter that records the outcome of requests in the log and in metrics.

use super::forward::AttemptEnded;
use super::reply::Reply;
use super::route::{RouteError, RoutedRequest};
use crate::clock::now;
use crate::metrics::EdgeMetrics;
use crate::pool::Lease;
use balsam_decide::attempts::Ending;
use balsam_decide::pool::Verdict;
use balsam_http1::RequestHead;
use balsam_types::{RouteKind, RouteName, ServiceName, TimeMs, UpstreamName};
use serde::Serialize;

/// Records requests; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct Recorder {
    metrics: EdgeMetrics,
}

/// Data collected about one request so far.
#[derive(Debug)]
pub(super) struct Record {
    id: String,
    route: RouteName,
    kind: RouteKind,
    rank: u32,
    config: u64,
    key: Option<u16>,
    received_at: TimeMs,
    service: Option<ServiceName>,
    attempts: Vec<AttemptLogEntry>,
    metrics: EdgeMetrics,
    is_written: bool,
}

#[derive(Clone, Debug, Serialize)]
struct AttemptLogEntry {
    upstream: UpstreamName,
    verdict: &'static str,
    opened_ms: u64,
    took_ms: u64,
}

/// Log entry for the end of a request.
#[derive(Debug, Serialize)]
#[serde(tag = "kind", rename = "request")]
struct RequestLogEntry<'a> {
    id: &'a str,
    route: &'a RouteName,
    repeat: &'static str,
    config: u64,
    key: Option<u16>,
    service: Option<&'a ServiceName>,
    attempts: &'a [AttemptLogEntry],
    outcome: &'static str,
    status: u16,
    reason: &'static str,
    took_ms: u64,
}

/// Log entry for a request without a route.
#[derive(Debug, Serialize)]
#[serde(tag = "kind", rename = "unrouted")]
struct UnroutedLogEntry<'a> {
    id: Option<&'a str>,
    target: String,
    reason: &'static str,
    status: u16,
}

/// Log entry for a malformed announcement of an upstream.
#[derive(Debug, Serialize)]
#[serde(tag = "kind", rename = "notice-ignored")]
struct NoticeIgnoredLogEntry<'a> {
    upstream: &'a UpstreamName,
    field: &'static str,
}

impl Recorder {
    /// Creates a recorder that counts in `metrics`.
    pub(crate) const fn new(metrics: EdgeMetrics) -> Self {
        Self { metrics }
    }

    /// Starts the record of a request.
    pub(super) fn start(&self, routed: &RoutedRequest) -> Record {
        Record {
            id: routed.attempt_id.clone(),
            route: routed.route.name.clone(),
            kind: routed.route.kind,
            rank: routed.route.rank,
            config: routed.table.version().0,
            key: routed.key.map(|key| key.0),
            received_at: routed.request.received_at,
            service: None,
            attempts: Vec::new(),
            metrics: self.metrics.clone(),
            is_written: false,
        }
    }

    /// Records that a field in which an upstream announces something was malformed.
    pub(super) fn notice_ignored(&self, upstream: &UpstreamName, field: &'static str) {
        self.metrics.notice_ignored(field);
        balsam_log::decision(&NoticeIgnoredLogEntry { upstream, field });
    }

    /// Records a request without a route.
    pub(super) fn unrouted(&self, id: Option<&str>, head: &RequestHead, reason: RouteError) {
        self.metrics
            .request(None, 0, "unrouted", reason.as_str(), 0);
        balsam_log::decision(&UnroutedLogEntry {
            id,
            target: String::from_utf8_lossy(&head.target).into_owned(),
            reason: reason.as_str(),
            status: reason.status(),
        });
    }
}

impl Record {
    /// Returns the service, once an upstream was selected.
    pub(super) const fn service(&self) -> Option<&ServiceName> {
        self.service.as_ref()
    }

    /// Notes the service of the upstream to which the request is about to be sent.
    pub(super) fn attempt_started(&mut self, lease: &Lease) {
        self.service = Some(lease.service.clone());
    }

    /// Notes the outcome of an attempt.
    pub(super) fn attempt(&mut self, upstream: &UpstreamName, ended: &AttemptEnded) {
        let (upstream, verdict) = (upstream.clone(), verdict_label(ended.verdict));
        if let Some(service) = &self.service {
            self.metrics.attempt(service, verdict);
        }
        self.attempts.push(AttemptLogEntry {
            upstream,
            verdict,
            opened_ms: ended.opened_ms,
            took_ms: ended.took_ms,
        });
    }

    /// Records that an upstream's response goes to the caller.
    pub(super) fn delivered(&mut self, response: &Reply) {
        self.write("answered", response.status(), "", now());
    }

    /// Records the end of a streamed response.
    pub(super) fn streamed(&mut self, verdict: Verdict) {
        let outcome = if verdict == Verdict::Served {
            "answered"
        } else {
            "cut-short"
        };
        self.write(outcome, 200, verdict_label(verdict), now());
    }

    /// Records that the daemon responds itself, without an upstream's response.
    pub(super) fn ended(&mut self, ending: Ending, reason: &'static str, at: TimeMs) {
        let outcome = match ending {
            Ending::NotRun => "not-run",
            Ending::Unknown => "unknown",
            Ending::Late => "late",
        };
        self.write(outcome, ending.status(), reason, at);
    }

    /// Writes the log entry and counts the request.
    fn write(&mut self, outcome: &'static str, status: u16, reason: &'static str, at: TimeMs) {
        self.is_written = true;
        let took_ms = at.since(self.received_at);
        self.metrics
            .request(self.service.as_ref(), self.rank, outcome, reason, took_ms);
        balsam_log::decision(&RequestLogEntry {
            id: &self.id,
            route: &self.route,
            repeat: self.kind.as_str(),
            config: self.config,
            key: self.key,
            service: self.service.as_ref(),
            attempts: &self.attempts,
            outcome,
            status,
            reason,
            took_ms,
        });
    }
}

impl Drop for Record {
    /// Records a request that was cancelled with its connection, before there was a response.
    fn drop(&mut self) {
        if !self.is_written {
            self.write("abandoned", 0, "connection-ended", now());
        }
    }
}

/// Returns the text of a verdict in log lines and metrics.
const fn verdict_label(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Served => "served",
        Verdict::Failed => "failed",
        Verdict::Shed => "shed",
        Verdict::NotHeld => "not-held",
        Verdict::Replaced => "replaced",
        Verdict::Unreachable => "unreachable",
        Verdict::Surplus => "surplus",
        Verdict::Broken => "broken",
        Verdict::Reset => "reset",
        Verdict::TimedOut => "timed-out",
        Verdict::Dropped => "dropped",
        Verdict::Withdrawn => "withdrawn",
    }
}
