//! The metric instruments of the request path.

use balsam_types::{Outcome, RankName, ServiceName, UpstreamName};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};

/// The upper bounds of the latency buckets in milliseconds; 11 ms is the latency target for lookups.
const LATENCY_BOUNDS_MS: [f64; 16] = [
    0.5, 1.0, 2.0, 3.0, 5.0, 8.0, 11.0, 15.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_500.0,
    10_000.0,
];

/// The metric instruments; cheap to clone.
#[derive(Clone, Debug)]
pub struct Metrics {
    requests: Counter<u64>,
    latency: Histogram<f64>,
    queue_length: Gauge<u64>,
    slots_in_use: Gauge<u64>,
    retries: Counter<u64>,
    relay_hops: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments with `meter`.
    pub fn new(meter: &Meter) -> Self {
        Self {
            requests: meter
                .u64_counter("balsam.requests")
                .with_description("Requests by service, rank, outcome and reason")
                .build(),
            latency: meter
                .f64_histogram("balsam.latency")
                .with_description("Time from the request head to the end of the answer")
                .with_unit("ms")
                .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
                .build(),
            queue_length: meter
                .u64_gauge("balsam.queue.length")
                .with_description("Requests that wait at the dispatcher, by upstream")
                .build(),
            slots_in_use: meter
                .u64_gauge("balsam.slots.in.use")
                .with_description("Requests that an upstream runs for this dispatcher")
                .build(),
            retries: meter
                .u64_counter("balsam.retries")
                .with_description("Attempts after the first one, by service and rank")
                .build(),
            relay_hops: meter
                .u64_counter("balsam.relay.hops")
                .with_description("Attempts sent to a dispatcher on another daemon")
                .build(),
        }
    }

    /// Counts a finished request and records its latency.
    pub fn request(
        &self,
        service: &ServiceName,
        rank: &RankName,
        outcome: Outcome,
        latency_ms: f64,
    ) {
        let (outcome, reason) = outcome_labels(outcome);
        let labels = [service_label(service), rank_label(rank)];
        self.latency.record(latency_ms, &labels);
        let [service, rank] = labels;
        let outcome = KeyValue::new("outcome", outcome);
        let reason = KeyValue::new("reason", reason);
        self.requests.add(1, &[service, rank, outcome, reason]);
    }

    /// Records the queue length and the slots in use of one upstream.
    pub fn dispatcher(&self, upstream: &UpstreamName, queue_length: usize, slots_in_use: usize) {
        let labels = [KeyValue::new("upstream", upstream.as_str().to_owned())];
        self.queue_length.record(queue_length as u64, &labels);
        self.slots_in_use.record(slots_in_use as u64, &labels);
    }

    /// Counts an attempt after the first one.
    pub fn retry(&self, service: &ServiceName, rank: &RankName) {
        let labels = [service_label(service), rank_label(rank)];
        self.retries.add(1, &labels);
    }

    /// Counts an attempt that was relayed to another daemon.
    pub fn relay_hop(&self, service: &ServiceName) {
        self.relay_hops.add(1, &[service_label(service)]);
    }
}

/// Returns the label values for an outcome and its reason; an answered request has no reason.
const fn outcome_labels(outcome: Outcome) -> (&'static str, &'static str) {
    match outcome {
        Outcome::Answered => ("answered", ""),
        Outcome::NotRun(reason) => ("not-run", reason.as_str()),
        Outcome::Unknown(reason) => ("unknown", reason.as_str()),
    }
}

fn service_label(service: &ServiceName) -> KeyValue {
    KeyValue::new("service", service.as_str().to_owned())
}

fn rank_label(rank: &RankName) -> KeyValue {
    KeyValue::new("rank", rank.as_str().to_owned())
}
