//! `flood`: service by rank and member at nominal load and in floods.

mod phases;
mod result;
mod sites;

use super::MeasureError;
use super::deployment::start;
use super::generator::generate;
use super::process::machine_load;
use super::sheet::Sheet;
use crate::harness::cluster::{Cluster, DaemonProcess};
use crate::harness::{ChildBuilder, FaultProxy, Program};
use crate::load::{LoadPlan, LoadReport, LoadStream};
use clap::{Args, ValueEnum};
use phases::{DIRECT_RATE, Phase, nominal_streams, phase_streams};
use result::{FloodContext, NominalContext, add_flood, add_nominal, add_overhead};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

pub(super) use phases::shared_streams;
pub(super) use sites::{LOOKUP, Scale, Site};

/// Options of `flood`.
#[derive(Debug, Args)]
pub struct FloodOptions {
    /// The deployments.
    #[arg(long, value_delimiter = ',', default_value = "first,second")]
    sites: Vec<SiteName>,
    /// Length of each phase in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    phase_ms: u64,
    /// Measure only the nominal load at real work times.
    #[arg(long)]
    nominal_only: bool,
}

/// A deployment of the design page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SiteName {
    /// 3 zones, upstreams of 3 slots.
    First,
    /// 4 zones, upstreams of 6 slots.
    Second,
}

pub(super) const SEED: u64 = 17;
/// Requests that the generator holds; more than any phase has open at once.
pub(super) const IN_FLIGHT: usize = 30_000;
/// Connections of the generator to each target.
const CONNECTIONS: usize = 1_500;
/// Time after the start until grants and connections are in place.
const SETTLE: Duration = Duration::from_secs(3);
/// Pause between two phases.
const PAUSE: Duration = Duration::from_secs(2);

/// Measures each deployment.
pub(super) async fn run(options: &FloodOptions, sheet: &mut Sheet) -> Result<(), MeasureError> {
    for name in &options.sites {
        let site = Site::of(*name);
        nominal(&site, options.phase_ms, sheet).await?;
        if !options.nominal_only {
            floods(&site, options.phase_ms, sheet).await?;
        }
    }
    Ok(())
}

/// Measures latency at the real work times and the router's part of it.
async fn nominal(site: &Site, phase_ms: u64, sheet: &mut Sheet) -> Result<(), MeasureError> {
    let cluster = start(&site.size(Scale::Real)).await?.cluster;
    actix_rt::time::sleep(SETTLE).await;
    let streams = nominal_streams(site, Scale::Real, phase_ms)?;
    // The first requests open the connections.
    load(
        &cluster,
        "warm-up",
        nominal_streams(site, Scale::Real, 2_000)?,
    )
    .await?;
    let report = load(&cluster, "nominal", streams).await?;
    let context = NominalContext {
        site: site.name,
        link_delay_ms: site.one_way_ms,
        machine_load: machine_load(),
    };
    add_nominal(&context, &report, sheet)?;
    let direct = direct(site, &cluster, phase_ms).await?;
    add_overhead(&context, &report, &direct, sheet)
}

/// Sends lookups to an upstream without a router, over a link with the delay between zones.
async fn direct(site: &Site, cluster: &Cluster, phase_ms: u64) -> Result<LoadReport, MeasureError> {
    let arguments = [
        "--name",
        "direct",
        "--service",
        LOOKUP.name,
        "--no-check-grants",
    ];
    let child = ChildBuilder::new(Program::Upstream)
        .with_arguments(arguments)
        .with_arguments(site.size(Scale::Real).arguments)
        .start(Duration::from_secs(20))
        .await?;
    let link = FaultProxy::start(child.address("address")).await?;
    link.set_delay_ms(site.one_way_ms);
    let stream = LOOKUP.stream("m1", DIRECT_RATE, phase_ms, 1_000)?;
    let plan = plan("direct", vec![link.address()], vec![stream]);
    generate(&plan, cluster.folder.path()).await
}

/// Measures the floods at work times that make the capacity small.
async fn floods(site: &Site, phase_ms: u64, sheet: &mut Sheet) -> Result<(), MeasureError> {
    let cluster = start(&site.size(Scale::Slow)).await?.cluster;
    actix_rt::time::sleep(SETTLE).await;
    let mut context = FloodContext::new(site);
    for phase in Phase::ALL {
        let streams = phase_streams(phase, site, phase_ms)?;
        let report = load(&cluster, phase.name(), streams.clone()).await?;
        context.machine_load = machine_load();
        add_flood(&mut context, phase, &streams, &report, sheet)?;
        actix_rt::time::sleep(PAUSE).await;
    }
    Ok(())
}

/// Sends streams through all daemons of a cluster.
pub(super) async fn load(
    cluster: &Cluster,
    name: &str,
    streams: Vec<LoadStream>,
) -> Result<LoadReport, MeasureError> {
    let addresses = cluster.daemons.iter().map(DaemonProcess::caller_address);
    let targets: Vec<SocketAddr> = addresses.collect::<Result<_, _>>()?;
    generate(&plan(name, targets, streams), cluster.folder.path()).await
}

/// Returns a plan with the seed and the bounds of all floods.
pub(super) fn plan(name: &str, targets: Vec<SocketAddr>, streams: Vec<LoadStream>) -> LoadPlan {
    LoadPlan {
        name: name.to_owned(),
        seed: SEED,
        connections: CONNECTIONS * targets.len(),
        targets,
        streams,
        in_flight: IN_FLIGHT,
    }
}
