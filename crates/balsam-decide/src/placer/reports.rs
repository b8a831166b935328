//! The dispatchers' reports on their upstreams.

use crate::control::ControlState;
use crate::node::UpstreamReport;
use balsam_types::timing::HEARTBEAT_INTERVAL_MS;
use balsam_types::{Incarnation, Map, TimeMs, UpstreamName, new_map};

/// The age at which a report expires, in milliseconds.
///
/// Reports arrive with heartbeats; the time allows for one lost heartbeat.
const REPORT_TTL_MS: u64 = 2 * HEARTBEAT_INTERVAL_MS + HEARTBEAT_INTERVAL_MS / 2;

/// The health of an upstream according to all unexpired reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ReportedHealth {
    /// At least one daemon gets no answer from it, and none gets one.
    pub silent: bool,
    /// At least one daemon gets answers from it.
    pub answering: bool,
    /// It reports that it is draining.
    pub draining: bool,
}

/// The latest report of each daemon on each upstream, with the time of its arrival.
#[derive(Debug)]
pub(super) struct Reports {
    by_upstream: Map<UpstreamName, Map<Incarnation, (TimeMs, UpstreamReport)>>,
}

impl Reports {
    pub fn new() -> Self {
        Self {
            by_upstream: new_map(),
        }
    }

    /// Records reports; returns whether the state of an upstream differs from the previous report.
    pub fn record(
        &mut self,
        now: TimeMs,
        reporter: Incarnation,
        reports: Vec<UpstreamReport>,
    ) -> bool {
        let mut changed = false;
        for report in reports {
            let state =
                |report: &UpstreamReport| (report.silent, report.answering, report.draining);
            let upstream_reports = self.by_upstream.entry(report.upstream.clone()).or_default();
            let new_state = state(&report);
            let previous = upstream_reports.insert(reporter, (now, report));
            changed |= previous.is_none_or(|(_, previous)| state(&previous) != new_state);
        }
        changed
    }

    /// Discards the reports on removed upstreams and of removed daemons.
    pub fn follow(&mut self, state: &ControlState) {
        self.by_upstream
            .retain(|name, _| state.upstreams.contains_key(name));
        for upstream_reports in self.by_upstream.values_mut() {
            upstream_reports.retain(|reporter, _| state.daemons.contains_key(reporter));
        }
    }

    pub fn clear(&mut self) {
        self.by_upstream.clear();
    }

    pub fn health(&self, now: TimeMs, upstream: &UpstreamName) -> ReportedHealth {
        let mut health = ReportedHealth::default();
        for report in self.unexpired(now, upstream) {
            health.silent |= report.silent;
            health.answering |= report.answering;
            health.draining |= report.draining;
        }
        health.silent &= !health.answering;
        health
    }

    /// Returns the unexpired report with the greatest load.
    ///
    /// Daemons that only probe the upstream report no load, so this is its dispatcher's report.
    pub fn load(&self, now: TimeMs, upstream: &UpstreamName) -> Option<&UpstreamReport> {
        self.unexpired(now, upstream)
            .max_by(|a, b| a.load.total_cmp(&b.load))
    }

    fn unexpired(
        &self,
        now: TimeMs,
        upstream: &UpstreamName,
    ) -> impl Iterator<Item = &UpstreamReport> {
        let upstream_reports = self.by_upstream.get(upstream);
        upstream_reports
            .into_iter()
            .flat_map(Map::values)
            .filter(move |(received_at, _)| now.since(*received_at) < REPORT_TTL_MS)
            .map(|(_, report)| report)
    }
}
