//! `losses`: time without an available owner for each kind of loss, with real processes.

mod probe;

use super::MeasureError;
use super::deployment::{ServiceSize, Size, start};
use super::error::NoDaemonSnafu;
use super::process::machine_load;
use super::sheet::Sheet;
use crate::harness::LinkMode;
use crate::harness::cluster::{Cluster, DaemonProcess};
use balsam_types::UpstreamName;
use balsam_wire::operator::IdText;
use clap::Args;
use probe::{Outage, probe};
use serde::Serialize;
use snafu::OptionExt;
use std::time::Duration;

/// Options of `losses`.
#[derive(Debug, Args)]
pub struct LossesOptions {
    /// Runs of each kind of loss.
    #[arg(long, default_value_t = 1)]
    runs: usize,
}

const DAEMONS: usize = 9;
const ZONES: usize = 3;
const SERVICE: ServiceSize = ServiceSize {
    name: "lookup",
    upstreams: 6,
    slices: 256,
    priority: 10,
    orders: false,
    more_ranks: &[],
};
const SETTLE: Duration = Duration::from_secs(3);
/// The time within which a key must be served again.
const BOUND_S: f64 = 3.0;

/// A kind of loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Loss {
    UpstreamKilled,
    UpstreamFrozen,
    UpstreamPartitioned,
    DispatcherKilled,
    PlacerKilled,
    UpstreamAndDispatcherKilled,
    ZoneOfDaemonsKilled,
}

impl Loss {
    const ALL: [Self; 7] = [
        Self::UpstreamKilled,
        Self::UpstreamFrozen,
        Self::UpstreamPartitioned,
        Self::DispatcherKilled,
        Self::PlacerKilled,
        Self::UpstreamAndDispatcherKilled,
        Self::ZoneOfDaemonsKilled,
    ];
}

#[derive(Debug, Serialize)]
struct LossRow {
    loss: Loss,
    run: usize,
    keys: usize,
    keys_affected: usize,
    /// Time without an answer, added up over all probed keys.
    unavailable_key_s: f64,
    /// The longest time from the loss until a key was served again.
    served_again_max_s: f64,
    /// The mean of that time over the affected keys.
    served_again_mean_s: f64,
    keys_never_served: usize,
    bound_s: f64,
    met: bool,
    machine_load: String,
}

/// Measures each kind of loss in a new deployment.
pub(super) async fn run(options: &LossesOptions, sheet: &mut Sheet) -> Result<(), MeasureError> {
    for loss in Loss::ALL {
        for run in 1..=options.runs {
            let outage = measure_loss(loss).await?;
            let row = LossRow {
                loss,
                run,
                keys: outage.keys,
                keys_affected: outage.affected_s.len(),
                unavailable_key_s: outage.affected_s.iter().sum(),
                served_again_max_s: outage.longest_s(),
                served_again_mean_s: outage.mean_s(),
                keys_never_served: outage.never_served,
                bound_s: BOUND_S,
                met: outage.never_served == 0 && outage.longest_s() <= BOUND_S,
                machine_load: machine_load(),
            };
            sheet.add("loss", &row)?;
        }
    }
    Ok(())
}

/// The processes that a loss concerns.
struct Roles {
    placer: usize,
    /// The dispatcher of `upstream`.
    dispatcher: usize,
    upstream: usize,
    /// A daemon that no kind of loss concerns; callers use it.
    entry: usize,
}

impl Roles {
    async fn find(cluster: &Cluster) -> Result<Self, MeasureError> {
        let operator = cluster.daemons[0].operator()?;
        let roster = operator.daemons().await?.daemons;
        let upstreams = operator.upstreams().await?.upstreams;
        let index_of = |incarnation: IdText| {
            let daemon = roster.iter().find(|one| one.incarnation == incarnation);
            let address = daemon.map(|daemon| daemon.peer_address);
            let has_address = |one: &DaemonProcess| Some(one.peer_link.address()) == address;
            cluster.daemons.iter().position(has_address)
        };
        let placer = roster.iter().find(|one| one.placer);
        let placer = placer.and_then(|one| index_of(one.incarnation));
        let placer = placer.context(NoDaemonSnafu { role: "placer" })?;
        // A dispatcher that is also the placer would make two losses of one.
        let found = upstreams.iter().find_map(|one| {
            let dispatcher = index_of(one.dispatcher?)?;
            (dispatcher != placer).then_some((dispatcher, one.name.clone()))
        });
        let role = "dispatcher of an upstream beside the placer";
        let (dispatcher, name) = found.context(NoDaemonSnafu { role })?;
        let upstream = position(cluster, &name);
        let upstream = upstream.context(NoDaemonSnafu { role })?;
        let zones = &cluster.plan.daemon_zones;
        let spared = |index: &usize| {
            *index != placer && *index != dispatcher && zones[*index] != zones[dispatcher]
        };
        let entry = (0..cluster.daemons.len()).find(spared);
        Ok(Self {
            placer,
            dispatcher,
            upstream,
            entry: entry.context(NoDaemonSnafu { role: "entry" })?,
        })
    }
}

fn position(cluster: &Cluster, name: &UpstreamName) -> Option<usize> {
    let upstreams = &cluster.plan.upstreams;
    upstreams.iter().position(|upstream| upstream.name == *name)
}

async fn measure_loss(loss: Loss) -> Result<Outage, MeasureError> {
    let size = Size {
        zones: ZONES,
        daemons: DAEMONS,
        slots: 20,
        connections: 120,
        one_way_ms: 0,
        services: vec![SERVICE],
        arguments: Vec::new(),
    };
    let mut cluster = start(&size).await?.cluster;
    actix_rt::time::sleep(SETTLE).await;
    let roles = Roles::find(&cluster).await?;
    let callers = cluster.daemons[roles.entry].caller_address()?;
    probe(callers, SERVICE.name, || cause(loss, &mut cluster, &roles)).await
}

fn cause(loss: Loss, cluster: &mut Cluster, roles: &Roles) -> Result<(), MeasureError> {
    let upstream = roles.upstream;
    match loss {
        Loss::UpstreamKilled => cluster.upstreams[upstream].child.kill()?,
        Loss::UpstreamFrozen => cluster.upstreams[upstream].child.freeze()?,
        Loss::UpstreamPartitioned => {
            cluster.upstreams[upstream]
                .link
                .set_mode(LinkMode::HalfOpen);
        }
        Loss::DispatcherKilled => cluster.daemons[roles.dispatcher].child.kill()?,
        Loss::PlacerKilled => cluster.daemons[roles.placer].child.kill()?,
        Loss::UpstreamAndDispatcherKilled => {
            cluster.upstreams[upstream].child.kill()?;
            cluster.daemons[roles.dispatcher].child.kill()?;
        }
        Loss::ZoneOfDaemonsKilled => {
            let zone = cluster.plan.daemon_zones[roles.dispatcher].clone();
            let zones = cluster.plan.daemon_zones.iter();
            let pairs = zones.zip(&mut cluster.daemons);
            for (_, daemon) in pairs.filter(|(of, _)| **of == zone) {
                daemon.child.kill()?;
            }
        }
    }
    Ok(())
}
