//! The cost of control without requests.

use crate::harness::HarnessError;
use crate::harness::cluster::{Cluster, DaemonProcess};
use crate::measure::MeasureError;
use crate::measure::deployment::{ServiceSize, Size, start};
use crate::measure::error::NoDaemonSnafu;
use crate::measure::process::Usage;
use balsam_types::settings::{NodeEdit, NodePath, SettingKey, SettingValue};
use balsam_types::{Epoch, ServiceName};
use balsam_wire::platform::PlatformCounters;
use serde::Serialize;
use snafu::OptionExt;
use std::time::{Duration, Instant};

/// Upstreams of the measured service.
const UPSTREAMS: usize = 6;
/// Time after the start until the sample, in which snapshots and first grants end.
const SETTLE: Duration = Duration::from_secs(4);
/// Edits of one point.
const EDITS: u64 = 9;
const SERVICE: &str = "lookup";

/// The cost of control at one size.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct ControlCost {
    pub daemons: usize,
    pub slices: u64,
    /// Processor time of daemons that are not the placer, as a share of one core.
    pub idle_cpu_percent: f64,
    pub placer_cpu_percent: f64,
    pub idle_resident_mb: f64,
    pub placer_resident_mb: f64,
    /// Bytes that one daemon sends to the others; it receives as many on average.
    pub peer_bytes_per_s: f64,
    /// Bytes between one daemon and the platform, both directions together.
    pub platform_bytes_per_s: f64,
    /// Bytes between one daemon and the upstreams, both directions together.
    pub upstream_bytes_per_s: f64,
    /// Table reads of all daemons.
    pub table_reads_per_s: f64,
    /// Table writes of all daemons.
    pub table_writes_per_s: f64,
    /// Reads of the instance list by all daemons.
    pub instance_reads_per_s: f64,
    /// Time from an edit until it is in force everywhere.
    pub edit_median_ms: f64,
    pub edit_max_ms: f64,
    /// Time from the creation of the service until each daemon sees an owner of each unit.
    pub placed_ms: f64,
    pub machine_load: String,
}

/// Everything that is counted up at one moment.
struct Sample {
    at: Instant,
    usages: Vec<Usage>,
    peer_bytes: u64,
    platform_bytes: u64,
    upstream_bytes: u64,
    counters: PlatformCounters,
}

impl Sample {
    async fn take(cluster: &Cluster) -> Result<Self, MeasureError> {
        let counters = cluster.platform.counters().await?;
        let daemons = &cluster.daemons;
        let usages = daemons.iter().map(|one| Usage::read(one.child.id()));
        let links = |of: fn(&DaemonProcess) -> u64| daemons.iter().map(of).sum();
        Ok(Self {
            at: Instant::now(),
            usages: usages.collect::<Result<_, _>>()?,
            peer_bytes: links(|one| one.peer_link.carried_bytes()),
            platform_bytes: links(|one| one.platform_link.carried_bytes()),
            upstream_bytes: cluster
                .upstreams
                .iter()
                .map(|one| one.link.carried_bytes())
                .sum(),
            counters,
        })
    }
}

/// Measures a deployment of `daemons` daemons and `slices` slices without requests.
pub(super) async fn measure_control(
    daemons: usize,
    slices: u64,
    sample_ms: u64,
) -> Result<ControlCost, MeasureError> {
    let size = Size {
        zones: 3,
        daemons,
        slots: 3,
        connections: 120,
        one_way_ms: 0,
        services: vec![ServiceSize {
            name: SERVICE,
            upstreams: UPSTREAMS,
            slices,
            priority: 10,
            orders: false,
            more_ranks: &[],
        }],
        arguments: Vec::new(),
    };
    let started = start(&size).await?;
    let cluster = &started.cluster;
    actix_rt::time::sleep(SETTLE).await;
    let placer = find_placer(cluster).await?;
    let before = Sample::take(cluster).await?;
    actix_rt::time::sleep(Duration::from_millis(sample_ms)).await;
    let after = Sample::take(cluster).await?;
    let mut cost = cost_between(&before, &after, placer);
    cost.daemons = daemons;
    cost.slices = slices;
    cost.placed_ms = started.placed.as_secs_f64() * 1e3;
    let edits = measure_edits(cluster).await?;
    cost.edit_median_ms = edits[edits.len() / 2];
    cost.edit_max_ms = edits[edits.len() - 1];
    Ok(cost)
}

fn cost_between(before: &Sample, after: &Sample, placer: usize) -> ControlCost {
    let seconds = (after.at - before.at).as_secs_f64();
    let count = after.usages.len() as f64;
    let per_second = |before: u64, after: u64| (after - before) as f64 / seconds;
    let cpu_percent = |index: usize| {
        let (before, after) = (before.usages[index].cpu_ns, after.usages[index].cpu_ns);
        per_second(before, after.max(before)) / 1e9 * 100.0
    };
    let resident_mb = |index: usize| after.usages[index].resident_kib as f64 / 1_024.0;
    let others = || (0..after.usages.len()).filter(|index| *index != placer);
    let mean =
        |value: &dyn Fn(usize) -> f64| others().map(value).sum::<f64>() / (count - 1.0).max(1.0);
    let (old, new) = (&before.counters, &after.counters);
    ControlCost {
        idle_cpu_percent: mean(&cpu_percent),
        placer_cpu_percent: cpu_percent(placer),
        idle_resident_mb: mean(&resident_mb),
        placer_resident_mb: resident_mb(placer),
        peer_bytes_per_s: per_second(before.peer_bytes, after.peer_bytes) / count,
        platform_bytes_per_s: per_second(before.platform_bytes, after.platform_bytes) / count,
        upstream_bytes_per_s: per_second(before.upstream_bytes, after.upstream_bytes) / count,
        table_reads_per_s: per_second(old.reads, new.reads),
        table_writes_per_s: per_second(old.writes, new.writes),
        instance_reads_per_s: per_second(old.instance_reads, new.instance_reads),
        ..ControlCost::default()
    }
}

async fn find_placer(cluster: &Cluster) -> Result<usize, MeasureError> {
    let roster = cluster.daemons[0].operator()?.daemons().await?.daemons;
    let placer = roster.iter().find(|daemon| daemon.placer);
    let address = placer.map(|daemon| daemon.peer_address);
    let is_placer = |daemon: &DaemonProcess| Some(daemon.peer_link.address()) == address;
    let found = cluster.daemons.iter().position(is_placer);
    found.context(NoDaemonSnafu { role: "placer" })
}

/// Returns the times of edits through daemons in turn, in ascending order.
async fn measure_edits(cluster: &Cluster) -> Result<Vec<f64>, MeasureError> {
    let service: ServiceName = SERVICE.parse()?;
    let mut times = Vec::new();
    for number in 0..EDITS {
        let daemon = &cluster.daemons[number as usize % cluster.daemons.len()];
        let operator = daemon.operator()?;
        let path = NodePath::Service(service.clone());
        let version = node_version(cluster, &path).await?;
        let value = SettingValue::Number(number + 1);
        let edit = NodeEdit::new(path, version).with_value(SettingKey::MovesPerMinute, value);
        let begun = Instant::now();
        operator.edit(vec![edit], true).await?;
        times.push(begun.elapsed().as_secs_f64() * 1e3);
    }
    times.sort_by(f64::total_cmp);
    Ok(times)
}

async fn node_version(cluster: &Cluster, path: &NodePath) -> Result<Epoch, HarnessError> {
    let settings = cluster.daemons[0].operator()?.settings().await?;
    let node = settings.nodes.iter().find(|node| node.path == *path);
    Ok(node.map_or(Epoch(0), |node| node.version))
}
