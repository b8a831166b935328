//! How slow upstreams are, from the times of their answers.

use balsam_types::{Map, TimeMs, UpstreamName, new_map};
use std::collections::VecDeque;

/// Answers of one upstream that are kept.
const ANSWERS_MAX: usize = 24;

/// Answers of one upstream from which its speed is told.
const ANSWERS_MIN: usize = 6;

/// How far back answers count, in milliseconds; an upstream that recovers gets its keys back.
const WINDOW_MS: u64 = 6_000;

/// Which of an upstream's answers tells its speed, in percent from the fastest.
///
/// Fast answers found a free slot, while the mean also tells how long the queue was.
const QUANTILE_PERCENT: usize = 25;

/// How fast an upstream may count, relative to the median of its service.
const SLOWNESS_MIN: f64 = 0.5;

/// How slow an upstream may count, relative to the median of its service; it keeps some requests,
/// whose answers show when it has recovered.
const SLOWNESS_MAX: f64 = 4.0;

/// The times of recent answers of a service's upstreams.
#[derive(Debug)]
pub struct ResponseTimes {
    recent: Map<UpstreamName, VecDeque<(TimeMs, u32)>>,
}

impl ResponseTimes {
    /// Makes a memory of nothing.
    pub fn new() -> Self {
        Self { recent: new_map() }
    }

    /// Adds answers with the time that each took in milliseconds.
    pub fn add(&mut self, now: TimeMs, answers: impl IntoIterator<Item = (UpstreamName, u32)>) {
        for (upstream, took_ms) in answers {
            let recent = self.recent.entry(upstream).or_default();
            if recent.len() == ANSWERS_MAX {
                recent.pop_front();
            }
            recent.push_back((now, took_ms));
        }
    }

    /// Returns how slow each upstream is relative to the median of all; those with few answers are
    /// left out.
    pub fn relative_latency(&mut self, now: TimeMs) -> Map<UpstreamName, f64> {
        self.recent.retain(|_, recent| {
            recent.retain(|(at, _)| now.since(*at) <= WINDOW_MS);
            !recent.is_empty()
        });
        let judged = self.recent.iter();
        let judged = judged.filter(|(_, recent)| recent.len() >= ANSWERS_MIN);
        let typical: Vec<(&UpstreamName, u32)> = judged
            .map(|(upstream, recent)| (upstream, quantile(recent)))
            .collect();
        let mut sorted: Vec<u32> = typical.iter().map(|(_, took_ms)| *took_ms).collect();
        sorted.sort_unstable();
        let median = sorted.get(sorted.len() / 2).copied().unwrap_or(0);
        let mut relative_latency = new_map();
        relative_latency.extend(typical.into_iter().map(|(upstream, took_ms)| {
            let ratio = f64::from(took_ms.max(1)) / f64::from(median.max(1));
            (upstream.clone(), ratio.clamp(SLOWNESS_MIN, SLOWNESS_MAX))
        }));
        relative_latency
    }
}

impl Default for ResponseTimes {
    fn default() -> Self {
        Self::new()
    }
}

fn quantile(recent: &VecDeque<(TimeMs, u32)>) -> u32 {
    let mut times: Vec<u32> = recent.iter().map(|(_, took_ms)| *took_ms).collect();
    times.sort_unstable();
    times[(times.len() - 1) * QUANTILE_PERCENT / 100]
}
