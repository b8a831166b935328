//! What dispatchers report of their upstreams.

use crate::control::ControlState;
use crate::node::UpstreamReport;
use balsam_types::timing::HEARTBEAT_INTERVAL_MS;
use balsam_types::{Incarnation, Map, TimeMs, UpstreamName, new_map};

/// The age at which a report no longer counts, in milliseconds; it spans one lost pulse.
const FRESH_MS: u64 = 2 * HEARTBEAT_INTERVAL_MS + HEARTBEAT_INTERVAL_MS / 2;

/// What fresh reports say of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Verdict {
    /// A dispatcher finds it silent and none finds it answering.
    pub silent: bool,
    /// A dispatcher finds it answering.
    pub answering: bool,
    /// It says that it is draining.
    pub draining: bool,
}

/// The last report of each dispatcher on each upstream.
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

    /// Takes reports; returns whether one of them differs from its predecessor in a state.
    pub fn take(&mut self, now: TimeMs, from: Incarnation, reports: Vec<UpstreamReport>) -> bool {
        let mut differs = false;
        for report in reports {
            let state =
                |report: &UpstreamReport| (report.silent, report.answering, report.draining);
            let of_upstream = self.by_upstream.entry(report.upstream.clone()).or_default();
            let new_state = state(&report);
            let previous = of_upstream.insert(from, (now, report));
            differs |= previous.is_none_or(|(_, previous)| state(&previous) != new_state);
        }
        differs
    }

    /// Forgets the reports of removed upstreams and daemons.
    pub fn follow(&mut self, state: &ControlState) {
        self.by_upstream
            .retain(|name, _| state.upstreams.contains_key(name));
        for of_upstream in self.by_upstream.values_mut() {
            of_upstream.retain(|from, _| state.daemons.contains_key(from));
        }
    }

    pub fn clear(&mut self) {
        self.by_upstream.clear();
    }

    pub fn verdict(&self, now: TimeMs, upstream: &UpstreamName) -> Verdict {
        let mut verdict = Verdict::default();
        for report in self.fresh(now, upstream) {
            verdict.silent |= report.silent;
            verdict.answering |= report.answering;
            verdict.draining |= report.draining;
        }
        verdict.silent &= !verdict.answering;
        verdict
    }

    /// Returns the report with the greatest load, because probers report none.
    pub fn load(&self, now: TimeMs, upstream: &UpstreamName) -> Option<&UpstreamReport> {
        self.fresh(now, upstream)
            .max_by(|a, b| a.load.total_cmp(&b.load))
    }

    fn fresh(&self, now: TimeMs, upstream: &UpstreamName) -> impl Iterator<Item = &UpstreamReport> {
        let of_upstream = self.by_upstream.get(upstream);
        of_upstream
            .into_iter()
            .flat_map(Map::values)
            .filter(move |(at, _)| now.since(*at) < FRESH_MS)
            .map(|(_, report)| report)
    }
}
