//! The cost of the request path: an entry daemon, a dispatcher and one upstream.

use super::Slope;
use crate::harness::cluster::Cluster;
use crate::harness::{Client, Sent};
use crate::load::LoadPlan;
use crate::measure::MeasureError;
use crate::measure::deployment::{RankSize, ServiceSize, Size, start};
use crate::measure::error::{FileSnafu, NoDaemonSnafu};
use crate::measure::fit::fit_line;
use crate::measure::generator::generate;
use crate::measure::process::{Usage, machine_load};
use crate::measure::sheet::Sheet;
use actix_rt::net::TcpStream;
use balsam_wire::upstream::headers;
use futures_util::future::join_all;
use serde::Serialize;
use snafu::{OptionExt, ResultExt};
use std::time::{Duration, Instant};

const SEED: u64 = 11;
const WORK_MS: u64 = 2;
const SLOW_WORK_MS: u64 = 6_000;
/// Requests that are open at once while memory is measured; below the entry's default bound.
const OPEN_REQUESTS: usize = 500;
/// Connections without a request while memory is measured.
const OPEN_CONNECTIONS: usize = 1_000;
const DEADLINE_MS: u64 = 1_000;
/// Warm-up of connections before the sample.
const WARMUP: Duration = Duration::from_secs(2);
const SERVICE: ServiceSize = ServiceSize {
    name: "lookup",
    upstreams: 1,
    slices: 64,
    priority: 10,
    orders: false,
    more_ranks: &[RankSize {
        name: "slow",
        priority: 20,
        min_slots: 0,
    }],
};

#[derive(Debug, Serialize)]
struct RequestCost {
    rate: f64,
    entry_cpu_us: f64,
    dispatcher_cpu_us: f64,
    relay_bytes: f64,
    entry_cpu_percent: f64,
    dispatcher_cpu_percent: f64,
    in_deadline: f64,
    work_ms: u64,
    p50_ms: f64,
    p99_ms: f64,
    p50_beyond_work_ms: f64,
    send_delay_p99_ms: f64,
    machine_load: String,
}

#[derive(Debug, Serialize)]
struct MemoryCost {
    open: &'static str,
    count: usize,
    entry_kib_each: f64,
    dispatcher_kib_each: f64,
}

/// The two daemons of the deployment by their part in each request.
struct Pair {
    cluster: Cluster,
    entry: usize,
    dispatcher: usize,
}

struct Sample {
    at: Instant,
    entry: Usage,
    dispatcher: Usage,
    relay_bytes: u64,
}

impl Pair {
    async fn start() -> Result<Self, MeasureError> {
        let work = format!("lookup={WORK_MS},slow={SLOW_WORK_MS}");
        let size = Size {
            zones: 1,
            daemons: 2,
            slots: 600,
            connections: 700,
            one_way_ms: 0,
            services: vec![SERVICE],
            arguments: vec!["--work-ms".to_owned(), work],
        };
        let cluster = start(&size).await?.cluster;
        let operator = cluster.daemons[0].operator()?;
        let roster = operator.daemons().await?;
        let upstreams = operator.upstreams().await?.upstreams;
        let dispatcher = upstreams.first().and_then(|upstream| upstream.dispatcher);
        let role = "dispatcher";
        let dispatcher = dispatcher.context(NoDaemonSnafu { role })?;
        let dispatcher = usize::from(roster.me != dispatcher);
        Ok(Self {
            cluster,
            entry: 1 - dispatcher,
            dispatcher,
        })
    }

    fn sample(&self) -> Result<Sample, MeasureError> {
        let daemons = &self.cluster.daemons;
        Ok(Sample {
            at: Instant::now(),
            entry: Usage::read(daemons[self.entry].child.id())?,
            dispatcher: Usage::read(daemons[self.dispatcher].child.id())?,
            relay_bytes: daemons
                .iter()
                .map(|one| one.peer_link.carried_bytes())
                .sum(),
        })
    }

    async fn sample_for(&self, length: Duration) -> Result<[Sample; 2], MeasureError> {
        let before = self.sample()?;
        actix_rt::time::sleep(length).await;
        Ok([before, self.sample()?])
    }
}

/// Measures the request path at each rate, then the memory of open requests and connections.
pub(super) async fn measure_requests(
    rates: &[u32],
    sample_ms: u64,
    sheet: &mut Sheet,
) -> Result<(), MeasureError> {
    let pair = Pair::start().await?;
    let length = Duration::from_millis(sample_ms);
    // The first grant reaches the upstream up to a pulse after the placement.
    actix_rt::time::sleep(WARMUP).await;
    let [before, after] = pair.sample_for(length).await?;
    let idle = Rates::between(&before, &after);
    let mut costs = Vec::new();
    for rate in rates {
        let cost = measure_rate(&pair, f64::from(*rate), length, &idle).await?;
        sheet.add("request", &cost)?;
        costs.push(cost);
    }
    add_slopes(&idle, &costs, sheet)?;
    sheet.add("memory", &open_requests(&pair).await?)?;
    sheet.add("memory", &open_connections(&pair).await?)
}

/// Figures of each second.
struct Rates {
    entry_cpu_us: f64,
    dispatcher_cpu_us: f64,
    relay_bytes: f64,
}

impl Rates {
    fn between(before: &Sample, after: &Sample) -> Self {
        let seconds = (after.at - before.at).as_secs_f64();
        let cpu_us = |before: Usage, after: Usage| {
            after.cpu_ns.saturating_sub(before.cpu_ns) as f64 / 1e3 / seconds
        };
        Self {
            entry_cpu_us: cpu_us(before.entry, after.entry),
            dispatcher_cpu_us: cpu_us(before.dispatcher, after.dispatcher),
            relay_bytes: (after.relay_bytes - before.relay_bytes) as f64 / seconds,
        }
    }
}

async fn measure_rate(
    pair: &Pair,
    rate: f64,
    length: Duration,
    idle: &Rates,
) -> Result<RequestCost, MeasureError> {
    let until_ms = (WARMUP + length).as_millis() as u64 + 500;
    let plan = LoadPlan {
        name: format!("rate-{rate}"),
        seed: SEED,
        targets: vec![pair.cluster.daemons[pair.entry].caller_address()?],
        streams: vec![SERVICE.stream("m1", rate, until_ms, DEADLINE_MS)?],
        connections: 100,
        in_flight: 2_000,
    };
    let sampling = async {
        actix_rt::time::sleep(WARMUP).await;
        pair.sample_for(length).await
    };
    let loading = generate(&plan, pair.cluster.folder.path());
    let (report, [before, after]) = tokio::try_join!(loading, sampling)?;
    let used = Rates::between(&before, &after);
    let each = |used: f64, idle: f64| (used - idle) / rate;
    let all = report.ranks.into_values().next();
    let all = all
        .map(|rank| rank.all)
        .context(NoDaemonSnafu { role: "entry" })?;
    Ok(RequestCost {
        rate,
        entry_cpu_us: each(used.entry_cpu_us, idle.entry_cpu_us),
        dispatcher_cpu_us: each(used.dispatcher_cpu_us, idle.dispatcher_cpu_us),
        relay_bytes: each(used.relay_bytes, idle.relay_bytes),
        entry_cpu_percent: used.entry_cpu_us / 1e4,
        dispatcher_cpu_percent: used.dispatcher_cpu_us / 1e4,
        in_deadline: all.share_kept,
        work_ms: WORK_MS,
        p50_ms: all.p50_ms,
        p99_ms: all.p99_ms,
        p50_beyond_work_ms: all.p50_ms - WORK_MS as f64,
        send_delay_p99_ms: all.send_delay_p99_ms,
        machine_load: machine_load(),
    })
}

fn add_slopes(idle: &Rates, costs: &[RequestCost], sheet: &mut Sheet) -> Result<(), MeasureError> {
    type Total = fn(&RequestCost) -> f64;
    let figures: [(&'static str, f64, Total); 3] = [
        ("entry_cpu_us", idle.entry_cpu_us, |cost| cost.entry_cpu_us),
        ("dispatcher_cpu_us", idle.dispatcher_cpu_us, |cost| {
            cost.dispatcher_cpu_us
        }),
        ("relay_bytes", idle.relay_bytes, |cost| cost.relay_bytes),
    ];
    for (figure, base, each) in figures {
        let totals = costs.iter();
        let totals = totals.map(|cost| (cost.rate, base + each(cost) * cost.rate));
        let points: Vec<(f64, f64)> = std::iter::once((0.0, base)).chain(totals).collect();
        let slope = Slope {
            figure,
            per: "request",
            fit: fit_line(&points),
            points: points.len(),
        };
        sheet.add("request-slope", &slope)?;
    }
    Ok(())
}

async fn open_requests(pair: &Pair) -> Result<MemoryCost, MeasureError> {
    let address = pair.cluster.daemons[pair.entry].caller_address()?;
    let timeout = Duration::from_millis(2 * SLOW_WORK_MS);
    let client = Client::with_connections(address, timeout, OPEN_REQUESTS);
    let sent = |number: usize| {
        Sent::get(format!("/lookup/open-{number}"))
            .with_header(headers::RANK, "slow")
            .with_header(headers::DEADLINE_MS, 2 * SLOW_WORK_MS)
    };
    let before = pair.sample()?;
    let sending = join_all((0..OPEN_REQUESTS).map(|number| client.send(sent(number))));
    let sampling = async {
        actix_rt::time::sleep(Duration::from_millis(SLOW_WORK_MS / 2)).await;
        pair.sample()
    };
    let (answers, during) = futures_util::future::join(sending, sampling).await;
    let answered = answers
        .iter()
        .flatten()
        .filter(|answer| answer.status == 200);
    let count = answered.count();
    Ok(memory_cost("request", count, &before, &during?))
}

async fn open_connections(pair: &Pair) -> Result<MemoryCost, MeasureError> {
    let address = pair.cluster.daemons[pair.entry].caller_address()?;
    let before = pair.sample()?;
    let mut connections = Vec::with_capacity(OPEN_CONNECTIONS);
    for _ in 0..OPEN_CONNECTIONS {
        let connected = TcpStream::connect(address).await;
        connections.push(connected.context(FileSnafu {
            path: address.to_string(),
        })?);
    }
    actix_rt::time::sleep(WARMUP).await;
    let during = pair.sample()?;
    Ok(memory_cost(
        "connection",
        connections.len(),
        &before,
        &during,
    ))
}

fn memory_cost(open: &'static str, count: usize, before: &Sample, during: &Sample) -> MemoryCost {
    let each = |before: Usage, during: Usage| {
        let gained = during.resident_kib.saturating_sub(before.resident_kib);
        gained as f64 / count.max(1) as f64
    };
    MemoryCost {
        open,
        count,
        entry_kib_each: each(before.entry, during.entry),
        dispatcher_kib_each: each(before.dispatcher, during.dispatcher),
    }
}
