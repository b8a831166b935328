//! Counters and histograms of the request path, and gauges of the routing state.

use balsam_decide::memory::MemoryCounts;
use balsam_decide::room::KeeperCounts;
use balsam_types::{ServiceName, ZoneName};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};
use std::sync::Arc;

/// Upper bounds of the latency buckets, in milliseconds. Latency objectives lie between 100 ms and
/// a few seconds.
const LATENCY_BOUNDS_MS: [f64; 14] = [
    5.0, 10.0, 25.0, 50.0, 100.0, 150.0, 200.0, 300.0, 400.0, 600.0, 1_000.0, 2_000.0, 5_000.0,
    15_000.0,
];

/// The instruments; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct EdgeMetrics(Arc<Instruments>);

#[derive(Debug)]
struct Instruments {
    requests: Counter<u64>,
    latency: Histogram<f64>,
    attempts: Counter<u64>,
    lost_lines: Gauge<u64>,
    config_version: Gauge<u64>,
    upstreams: Gauge<u64>,
    is_leader: Gauge<u64>,
    ranges: Gauge<u64>,
    moving: Gauge<u64>,
    keys_moved: Counter<u64>,
    knowledge_age: Gauge<u64>,
    store_calls: Counter<u64>,
    peer_messages_dropped: Counter<u64>,
    requests_held: Counter<u64>,
    budget_left: Gauge<f64>,
    suspects: Gauge<u64>,
    announced: Gauge<u64>,
    notices_ignored: Counter<u64>,
    permits_awaited: Gauge<u64>,
    keeper_decisions: Counter<u64>,
    keeper_holds: Gauge<u64>,
    memory: MemoryInstruments,
    evacuation: EvacuationGauges,
}

/// Instruments of the memory budget.
#[derive(Debug)]
struct MemoryInstruments {
    held: Gauge<u64>,
    waiting: Gauge<u64>,
    decisions: Counter<u64>,
}

impl MemoryInstruments {
    fn new(meter: &Meter) -> Self {
        Self {
            held: meter
                .u64_gauge("balsam.edge.memory.held")
                .with_description("Bytes reserved for bodies and answers")
                .with_unit("By")
                .build(),
            waiting: meter
                .u64_gauge("balsam.edge.memory.waiting")
                .with_description("Reservations of bytes that wait")
                .build(),
            decisions: meter
                .u64_counter("balsam.edge.memory.decisions")
                .with_description(
                    "Reservations that waited or were refused, and holders that gave way",
                )
                .build(),
        }
    }
}

#[derive(Debug)]
struct EvacuationGauges {
    zones: Gauge<u64>,
    keys: Gauge<u64>,
}

impl EvacuationGauges {
    fn new(meter: &Meter) -> Self {
        Self {
            zones: meter
                .u64_gauge("balsam.edge.zones.evacuated")
                .with_description("1 while the operator has a zone evacuated, by zone")
                .build(),
            keys: meter
                .u64_gauge("balsam.edge.keys.evacuating")
                .with_description("Keys whose owner is in an evacuated zone")
                .build(),
        }
    }
}

impl EdgeMetrics {
    /// Registers the instruments with `meter`.
    pub(crate) fn new(meter: &Meter) -> Self {
        let metrics = Self(Arc::new(Instruments {
            requests: meter
                .u64_counter("balsam.edge.requests")
                .with_description("Requests by service, rank, outcome and reason")
                .build(),
            latency: meter
                .f64_histogram("balsam.edge.latency")
                .with_description("Time from a request's head to the end of its answer")
                .with_unit("ms")
                .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
                .build(),
            attempts: meter
                .u64_counter("balsam.edge.attempts")
                .with_description("Requests sent to upstreams by service and verdict")
                .build(),
            lost_lines: meter
                .u64_gauge("balsam.edge.log.lost")
                .with_description("Log lines dropped because nobody read them")
                .build(),
            config_version: meter
                .u64_gauge("balsam.edge.config.version")
                .with_description("The version of the configuration in force")
                .build(),
            upstreams: meter
                .u64_gauge("balsam.edge.upstreams")
                .with_description("Upstreams that are believed to exist")
                .build(),
            is_leader: meter
                .u64_gauge("balsam.edge.leader")
                .with_description("1 while this daemon assigns keys")
                .build(),
            ranges: meter
                .u64_gauge("balsam.edge.ranges")
                .with_description("Ranges of keys with an owner")
                .build(),
            moving: meter
                .u64_gauge("balsam.edge.ranges.moving")
                .with_description("Ranges of keys that are on their way to another owner")
                .build(),
            keys_moved: meter
                .u64_counter("balsam.edge.keys.moved")
                .with_description("Keys that this daemon gave another owner, by service")
                .build(),
            knowledge_age: meter
                .u64_gauge("balsam.edge.knowledge.age")
                .with_description("Age of what is known of the store's tables")
                .with_unit("ms")
                .build(),
            store_calls: meter
                .u64_counter("balsam.edge.store.calls")
                .with_description("Calls to the store by kind and outcome")
                .build(),
            peer_messages_dropped: meter
                .u64_counter("balsam.edge.peer.dropped")
                .with_description("Messages between daemons dropped at a full queue, by direction")
                .build(),
            requests_held: meter
                .u64_counter("balsam.edge.requests.held")
                .with_description("Requests that waited for current tables, by what followed")
                .build(),
            budget_left: meter
                .f64_gauge("balsam.edge.budget.left")
                .with_description("Repeats that the budget has left in its window, by service")
                .build(),
            suspects: meter
                .u64_gauge("balsam.edge.requests.suspect")
                .with_description("Requests that crashed upstreams, by state: refused or suspected")
                .build(),
            announced: meter
                .u64_gauge("balsam.edge.upstreams.announced")
                .with_description("Upstreams that announced to leave or to pause, by state")
                .build(),
            notices_ignored: meter
                .u64_counter("balsam.edge.notices.ignored")
                .with_description("Malformed announcements of upstreams, by field")
                .build(),
            permits_awaited: meter
                .u64_gauge("balsam.edge.permits.awaited")
                .with_description("Requests of this daemon that wait for a permit of a keeper")
                .build(),
            keeper_decisions: meter
                .u64_counter("balsam.edge.keeper.decisions")
                .with_description(
                    "Permits that this daemon's keeper has granted, queued, refused or seen expire",
                )
                .build(),
            keeper_holds: meter
                .u64_gauge("balsam.edge.keeper.holds")
                .with_description(
                    "Permits, waiting requests and groups of upstreams at this daemon's keeper",
                )
                .build(),
            memory: MemoryInstruments::new(meter),
            evacuation: EvacuationGauges::new(meter),
        }));
        metrics.start_counters();
        metrics
    }

    /// Sets counters that operators watch for any increase to 0.
    fn start_counters(&self) {
        for direction in ["in", "out"] {
            self.count_dropped(direction, 0);
        }
        for is_current in [true, false] {
            self.count_held(is_current, 0);
        }
    }

    /// Counts a finished request and records its latency.
    pub(crate) fn request(
        &self,
        service: Option<&ServiceName>,
        rank: u32,
        outcome: &'static str,
        reason: &'static str,
        took_ms: u64,
    ) {
        let service = KeyValue::new(
            "service",
            service.map_or("", ServiceName::as_str).to_owned(),
        );
        let labels = [service, KeyValue::new("rank", i64::from(rank))];
        self.0.latency.record(took_ms as f64, &labels);
        let [service, rank] = labels;
        let (outcome, reason) = (
            KeyValue::new("outcome", outcome),
            KeyValue::new("reason", reason),
        );
        self.0.requests.add(1, &[service, rank, outcome, reason]);
    }

    /// Counts an attempt that was sent to an upstream.
    pub(crate) fn attempt(&self, service: &ServiceName, verdict: &'static str) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.0
            .attempts
            .add(1, &[service, KeyValue::new("verdict", verdict)]);
    }

    /// Sets the number of log lines that were dropped.
    pub(crate) fn lost_lines(&self, lines: usize) {
        self.0.lost_lines.record(lines as u64, &[]);
    }

    /// Sets the gauges of the routing state.
    pub(crate) fn routing_state(
        &self,
        config_version: u64,
        upstreams: usize,
        ranges: usize,
        moving: usize,
    ) {
        self.0.config_version.record(config_version, &[]);
        self.0.upstreams.record(upstreams as u64, &[]);
        self.0.ranges.record(ranges as u64, &[]);
        self.0.moving.record(moving as u64, &[]);
    }

    /// Counts keys that this daemon assigned to another owner.
    pub(crate) fn keys_moved(&self, service: &ServiceName, keys: u64) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.0.keys_moved.add(keys, &[service]);
    }

    /// Sets the age of the data from the store's tables, in milliseconds.
    pub(crate) fn knowledge_age(&self, age_ms: u64) {
        self.0.knowledge_age.record(age_ms, &[]);
    }

    /// Counts a call to the store.
    pub(crate) fn store_call(&self, kind: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("outcome", outcome),
        ];
        self.0.store_calls.add(1, &labels);
    }

    /// Counts a message from or to another daemon that was dropped because a queue was full.
    pub(crate) fn peer_message_dropped(&self, direction: &'static str) {
        self.count_dropped(direction, 1);
    }

    fn count_dropped(&self, direction: &'static str, messages: u64) {
        let direction = KeyValue::new("direction", direction);
        self.0.peer_messages_dropped.add(messages, &[direction]);
    }

    /// Counts a request that waited until the tables were shown to be current, or was given up.
    pub(crate) fn request_held(&self, is_current: bool) {
        self.count_held(is_current, 1);
    }

    fn count_held(&self, is_current: bool, requests: u64) {
        let outcome = if is_current { "current" } else { "outdated" };
        let outcome = KeyValue::new("outcome", outcome);
        self.0.requests_held.add(requests, &[outcome]);
    }

    /// Sets the number of retries that the budget still allows.
    pub(crate) fn budget_left(&self, service: &ServiceName, left: f64) {
        let service = KeyValue::new("service", service.as_str().to_owned());
        self.0.budget_left.record(left, &[service]);
    }

    /// Sets how many requests are refused because they crash upstreams, and how many are only
    /// suspected so far.
    pub(crate) fn suspects(&self, refused: usize, suspected: usize) {
        for (state, count) in [("refused", refused), ("suspected", suspected)] {
            let state = [KeyValue::new("state", state)];
            self.0.suspects.record(count as u64, &state);
        }
    }

    /// Sets how many upstreams have announced that they leave, and how many pause.
    pub(crate) fn announced(&self, leaving: usize, paused: usize) {
        for (state, count) in [("leaving", leaving), ("paused", paused)] {
            let state = [KeyValue::new("state", state)];
            self.0.announced.record(count as u64, &state);
        }
    }

    /// Counts a malformed announcement of an upstream.
    pub(crate) fn notice_ignored(&self, field: &'static str) {
        self.0
            .notices_ignored
            .add(1, &[KeyValue::new("field", field)]);
    }

    /// Sets whether a zone is evacuated.
    pub(crate) fn zone_evacuated(&self, zone: &ZoneName, is_evacuated: bool) {
        let zone = KeyValue::new("zone", zone.as_str().to_owned());
        let value = u64::from(is_evacuated);
        self.0.evacuation.zones.record(value, &[zone]);
    }

    /// Sets the number of keys whose owner is in an evacuated zone.
    pub(crate) fn evacuating_keys(&self, keys: u64) {
        self.0.evacuation.keys.record(keys, &[]);
    }

    /// Sets whether this daemon is the leader, which assigns keys.
    pub(crate) fn leader(&self, is_leader: bool) {
        self.0.is_leader.record(u64::from(is_leader), &[]);
    }

    /// Sets the number of requests that wait for a permit.
    pub(crate) fn permits_awaited(&self, awaited: usize) {
        self.0.permits_awaited.record(awaited as u64, &[]);
    }

    /// Sets the gauges of the memory budget, and counts its decisions since the counts `before`.
    pub(crate) fn memory(&self, before: &MemoryCounts, counts: &MemoryCounts) {
        let decisions = [
            ("waited", counts.waited - before.waited),
            ("refused", counts.refused - before.refused),
            ("too-large", counts.too_large - before.too_large),
            ("gave-way", counts.gave_way - before.gave_way),
        ];
        for (decision, count) in decisions {
            let label = KeyValue::new("decision", decision);
            self.0.memory.decisions.add(count, &[label]);
        }
        self.0.memory.held.record(counts.held_bytes, &[]);
        self.0.memory.waiting.record(counts.waiting, &[]);
    }

    /// Sets the gauges of the keeper, and counts its decisions since the counts `before`.
    pub(crate) fn keeper(&self, before: &KeeperCounts, counts: &KeeperCounts) {
        let decisions = [
            ("granted", counts.granted - before.granted),
            ("queued", counts.queued - before.queued),
            ("refused", counts.refused - before.refused),
            ("expired", counts.expired - before.expired),
        ];
        for (decision, count) in decisions {
            let label = KeyValue::new("decision", decision);
            self.0.keeper_decisions.add(count, &[label]);
        }
        let holds = [
            ("permits", counts.permits),
            ("waiting", counts.waiting),
            ("groups", counts.groups),
        ];
        for (kind, count) in holds {
            let label = KeyValue::new("kind", kind);
            self.0.keeper_holds.record(count as u64, &[label]);
        }
    }
}
