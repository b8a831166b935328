//! Relative latency of upstreams, estimated from recent response times.

use balsam_types::{Map, TimeMs, UpstreamName, new_map};
use std::collections::VecDeque;

/// Maximum number of responses kept for one upstream.
const RESPONSES_MAX: usize = 24;

/// Minimum number of responses needed to estimate an upstream's latency.
const RESPONSES_MIN: usize = 6;

/// Age up to which responses count, in milliseconds. The window is short so that an upstream that
/// recovers gets its keys back.
const WINDOW_MS: u64 = 6_000;

/// Quantile of an upstream's response times that stands for its latency, in percent, counted from
/// the fastest response.
///
/// A low quantile consists of responses that found a free slot. The mean would also measure how
/// long the upstream's queue was.
const LATENCY_QUANTILE_PERCENT: usize = 25;

/// Lower bound of an upstream's relative latency; 1.0 is the median of its service.
const RELATIVE_LATENCY_MIN: f64 = 0.5;

/// Upper bound of an upstream's relative latency. It leaves a slow upstream some requests, whose
/// responses show when it has recovered.
const RELATIVE_LATENCY_MAX: f64 = 4.0;

/// Response times of the upstreams of one service, within a sliding window.
#[derive(Debug)]
pub struct ResponseTimes {
    recent: Map<UpstreamName, VecDeque<(TimeMs, u32)>>,
}

impl ResponseTimes {
    /// Creates a tracker without responses.
    pub fn new() -> Self {
        Self { recent: new_map() }
    }

    /// Adds responses, each with its response time in milliseconds.
    pub fn add(&mut self, now: TimeMs, responses: impl IntoIterator<Item = (UpstreamName, u32)>) {
        for (upstream, took_ms) in responses {
            let recent = self.recent.entry(upstream).or_default();
            if recent.len() == RESPONSES_MAX {
                recent.pop_front();
            }
            recent.push_back((now, took_ms));
        }
    }

    /// Returns each upstream's latency relative to the median of all upstreams. Upstreams with
    /// fewer than `RESPONSES_MIN` responses are left out.
    pub fn relative_latency(&mut self, now: TimeMs) -> Map<UpstreamName, f64> {
        self.recent.retain(|_, recent| {
            recent.retain(|(received_at, _)| now.since(*received_at) <= WINDOW_MS);
            !recent.is_empty()
        });
        let sampled = self.recent.iter();
        let sampled = sampled.filter(|(_, recent)| recent.len() >= RESPONSES_MIN);
        let latencies: Vec<(&UpstreamName, u32)> = sampled
            .map(|(upstream, recent)| (upstream, quantile(recent)))
            .collect();
        let mut sorted: Vec<u32> = latencies.iter().map(|(_, took_ms)| *took_ms).collect();
        sorted.sort_unstable();
        let median = sorted.get(sorted.len() / 2).copied().unwrap_or(0);
        let mut relative_latency = new_map();
        relative_latency.extend(latencies.into_iter().map(|(upstream, took_ms)| {
            let ratio = f64::from(took_ms.max(1)) / f64::from(median.max(1));
            (
                upstream.clone(),
                ratio.clamp(RELATIVE_LATENCY_MIN, RELATIVE_LATENCY_MAX),
            )
        }));
        relative_latency
    }
}

impl Default for ResponseTimes {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the response time at [`LATENCY_QUANTILE_PERCENT`].
fn quantile(recent: &VecDeque<(TimeMs, u32)>) -> u32 {
    let mut times: Vec<u32> = recent.iter().map(|(_, took_ms)| *took_ms).collect();
    times.sort_unstable();
    times[(times.len() - 1) * LATENCY_QUANTILE_PERCENT / 100]
}
