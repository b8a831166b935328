//! `dispatchers`: one dispatcher for each upstream against a model of independent daemons.

use super::MeasureError;
use super::deployment::start;
use super::error::NoDaemonSnafu;
use super::flood::{LOOKUP, Scale, Site, SiteName, load, plan, shared_streams};
use super::generator::generate;
use super::process::machine_load;
use super::sheet::Sheet;
use crate::harness::{Child, ChildBuilder, Program};
use crate::load::{LoadReport, LoadStream};
use balsam_types::RankName;
use clap::Args;
use serde::Serialize;
use snafu::OptionExt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Options of `dispatchers`.
#[derive(Debug, Args)]
pub struct DispatchersOptions {
    /// Length of each flood in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    phase_ms: u64,
}

/// Time after the start until grants and connections are in place.
const SETTLE: Duration = Duration::from_secs(3);
const START_DEADLINE: Duration = Duration::from_secs(20);

/// How requests reach the upstreams.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Way {
    /// Through the daemons; one dispatcher queues for each upstream.
    Dispatcher,
    /// A model: straight to the upstreams, which shed; there is no queue and no retry.
    IndependentModel,
}

#[derive(Debug, Serialize)]
struct WayRow {
    way: Way,
    rank: RankName,
    scheduled: u64,
    kept: f64,
    served_per_s: f64,
    p50_ms: f64,
    p99_ms: f64,
    /// The smallest share that a member kept which does not flood.
    least_member_kept: f64,
    jain: f64,
    /// Slot time of requests answered in time, as a part of all slot time, of all ranks.
    useful_work: f64,
    machine_load: String,
}

/// Sends the same flood both ways.
pub(super) async fn run(
    options: &DispatchersOptions,
    sheet: &mut Sheet,
) -> Result<(), MeasureError> {
    let site = Site::of(SiteName::First);
    let mut deployment = site.size(Scale::Slow);
    deployment.services.truncate(1);
    let streams = shared_streams(&site, options.phase_ms)?;
    let cluster = start(&deployment).await?.cluster;
    actix_rt::time::sleep(SETTLE).await;
    let report = load(&cluster, "dispatcher", streams.clone()).await?;
    add(Way::Dispatcher, &site, &report, sheet)?;
    for daemon in &cluster.daemons {
        daemon.child.terminate()?;
    }
    let folder = cluster.folder.path();
    let report = independent(&deployment.arguments, deployment.slots, streams, folder).await?;
    add(Way::IndependentModel, &site, &report, sheet)
}

async fn independent(
    arguments: &[String],
    slots: u32,
    streams: Vec<LoadStream>,
    folder: &Path,
) -> Result<LoadReport, MeasureError> {
    let mut children: Vec<Child> = Vec::new();
    for index in 0..LOOKUP.upstreams {
        let builder = ChildBuilder::new(Program::Upstream)
            .with_arguments(["--no-check-grants", "--service", LOOKUP.name])
            .with_arguments(["--name".to_owned(), format!("independent-{index}")])
            .with_arguments(["--slots".to_owned(), slots.to_string()])
            .with_arguments(arguments.iter().cloned());
        children.push(builder.start(START_DEADLINE).await?);
    }
    let addresses = children.iter().map(|child| child.address("address"));
    let targets: Option<Vec<SocketAddr>> = addresses.collect();
    let targets = targets.context(NoDaemonSnafu { role: "upstream" })?;
    generate(&plan("independent", targets, streams), folder).await
}

fn add(way: Way, site: &Site, report: &LoadReport, sheet: &mut Sheet) -> Result<(), MeasureError> {
    let [lookup_ms, _, download_ms] = site.work_ms(Scale::Slow);
    let work_ms = |rank: &RankName| match rank.as_str() {
        "lookup" => lookup_ms,
        _ => download_ms,
    };
    let ranks = report.ranks.iter();
    let useful_ms: u64 = ranks
        .map(|(rank, of)| of.all.in_deadline * work_ms(rank))
        .sum();
    let slot_ms = site.slots_of(LOOKUP.name) * report.elapsed_ms;
    for (rank, of_rank) in &report.ranks {
        let members = of_rank.members.iter();
        let others = members.filter(|(member, _)| member.as_str() != "flooder");
        let kept = others.map(|(_, member)| member.share_kept);
        let row = WayRow {
            way,
            rank: rank.clone(),
            scheduled: of_rank.all.scheduled,
            kept: of_rank.all.share_kept,
            served_per_s: of_rank.all.in_deadline as f64 * 1_000.0 / report.elapsed_ms as f64,
            p50_ms: of_rank.all.p50_ms,
            p99_ms: of_rank.all.p99_ms,
            least_member_kept: kept.fold(1.0, f64::min),
            jain: of_rank.jain_index,
            useful_work: useful_ms as f64 / slot_ms as f64,
            machine_load: machine_load(),
        };
        sheet.add("dispatchers", &row)?;
    }
    Ok(())
}
