//! Deployments of measured sizes.

use super::MeasureError;
use crate::harness::HarnessError;
use crate::harness::cluster::{Cluster, ClusterPlan, ServicePlan, UpstreamPlan, wait_until};
use crate::load::{KeyChoice, LoadStream, WorkKind};
use balsam_types::settings::{SettingKey, SettingValue};
use balsam_types::{NameError, ZoneName};
use std::time::{Duration, Instant};

/// The longest wait for a step of a start.
pub(super) const PATIENCE: Duration = Duration::from_mins(2);

/// The log level of measured daemons, which is the default of the settings file.
const LOG_LEVEL: &str = "info";
const RETRY_PAUSE: Duration = Duration::from_secs(1);
const DRAIN_MS: u64 = 5_000;

/// A further rank of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct RankSize {
    pub name: &'static str,
    pub priority: u64,
    pub min_slots: u64,
}

/// One service of a deployment, with a rank of the same name.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceSize {
    pub name: &'static str,
    pub upstreams: usize,
    pub slices: u64,
    pub priority: u64,
    pub orders: bool,
    pub more_ranks: &'static [RankSize],
}

/// The size of a deployment.
#[derive(Clone, Debug)]
pub(super) struct Size {
    pub zones: usize,
    pub daemons: usize,
    pub slots: u32,
    pub connections: u32,
    /// Delay of every link between daemons, one way, whether or not they share a zone.
    ///
    /// Delays by zone would need the process behind each connection, and the search for it takes
    /// all of a thread with hundreds of connections. Dispatchers are in their upstreams' zones.
    pub one_way_ms: u64,
    pub services: Vec<ServiceSize>,
    /// Further arguments of the upstreams.
    pub arguments: Vec<String>,
}

impl Size {
    fn zone(&self, index: usize) -> Result<ZoneName, NameError> {
        ZoneName::new(format!("z{}", index % self.zones))
    }

    /// Returns the cluster of this size.
    pub fn plan(&self) -> Result<ClusterPlan, MeasureError> {
        let mut upstreams = Vec::new();
        let mut services = Vec::new();
        for service in &self.services {
            for index in 0..service.upstreams {
                upstreams.push(UpstreamPlan {
                    name: format!("{}-{index:02}", service.name).parse()?,
                    service: service.name.parse()?,
                    zone: self.zone(index)?,
                    slots: self.slots,
                    connections: self.connections,
                    checks_grants: true,
                    arguments: self.arguments.clone(),
                });
            }
            services.push(service.plan(self.connections)?);
        }
        let zones: Result<Vec<_>, _> = (0..self.daemons).map(|index| self.zone(index)).collect();
        Ok(ClusterPlan {
            daemon_zones: zones?,
            upstreams,
            services,
            drain_ms: DRAIN_MS,
            log_level: LOG_LEVEL.to_owned(),
        })
    }

    /// Returns the number of units of all services.
    pub fn units(&self) -> u64 {
        self.services.iter().map(|service| service.slices).sum()
    }
}

impl ServiceSize {
    fn plan(&self, connections: u32) -> Result<ServicePlan, NameError> {
        let number = SettingValue::Number;
        let rank = SettingValue::Text(self.name.into());
        let own = vec![
            (SettingKey::Priority, number(self.priority)),
            (SettingKey::Orders, SettingValue::Flag(self.orders)),
        ];
        let mut ranks = vec![(self.name.parse()?, own)];
        for more in self.more_ranks {
            let values = vec![
                (SettingKey::Priority, number(more.priority)),
                (SettingKey::MinSlots, number(more.min_slots)),
            ];
            ranks.push((more.name.parse()?, values));
        }
        Ok(ServicePlan {
            name: self.name.parse()?,
            values: vec![
                (SettingKey::Slices, number(self.slices)),
                (SettingKey::DefaultRank, rank),
                (SettingKey::Connections, number(u64::from(connections))),
            ],
            ranks,
        })
    }

    /// Returns a stream of requests on this service from the start of a run.
    pub fn stream(
        &self,
        member: &str,
        rate: f64,
        until_ms: u64,
        deadline_ms: u64,
    ) -> Result<LoadStream, NameError> {
        let kind = if self.orders {
            WorkKind::Order { body_bytes: 200 }
        } else {
            WorkKind::Read
        };
        Ok(LoadStream {
            service: self.name.parse()?,
            rank: self.name.parse()?,
            member: member.parse()?,
            kind,
            keys: KeyChoice::even(100_000),
            rate,
            from_ms: 0,
            until_ms,
            deadline_ms,
        })
    }
}

/// A started deployment and the time that its first placement took.
#[derive(Debug)]
pub(super) struct Started {
    pub cluster: Cluster,
    /// From the edit that creates the services until each daemon sees all owners.
    pub placed: Duration,
}

/// Starts a deployment and waits until each daemon sees an owner of each unit.
pub(super) async fn start(size: &Size) -> Result<Started, MeasureError> {
    let cluster = Cluster::start(size.plan()?).await?;
    for index in 0..size.daemons {
        wait_roster(&cluster, index, size.daemons).await?;
    }
    for daemon in &cluster.daemons {
        daemon.peer_link.set_delay_ms(size.one_way_ms);
    }
    let begun = Instant::now();
    create_services(&cluster).await?;
    for index in 0..size.daemons {
        wait_owned(&cluster, index, size.units()).await?;
    }
    Ok(Started {
        placed: begun.elapsed(),
        cluster,
    })
}

/// Creates the services, again if a daemon of a busy machine could not reach the table in time.
async fn create_services(cluster: &Cluster) -> Result<(), HarnessError> {
    let until = Instant::now() + PATIENCE;
    let mut repeated = false;
    loop {
        match cluster.create_services().await {
            // The first edit took effect although its answer said that this was not known.
            Err(HarnessError::Status { status: 409, .. }) if repeated => return Ok(()),
            Err(HarnessError::Status { status: 503, .. }) if Instant::now() < until => {
                repeated = true;
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
            ended => return ended,
        }
    }
}

async fn wait_roster(cluster: &Cluster, index: usize, size: usize) -> Result<(), HarnessError> {
    let operator = cluster.daemons[index].operator()?;
    let joined = || async {
        let roster = operator.daemons().await.ok()?.daemons;
        (roster.len() == size).then_some(())
    };
    wait_until("a complete roster", PATIENCE, joined).await?;
    Ok(())
}

async fn wait_owned(cluster: &Cluster, index: usize, units: u64) -> Result<(), HarnessError> {
    let operator = cluster.daemons[index].operator()?;
    let owned = || async {
        let upstreams = operator.upstreams().await.ok()?.upstreams;
        let owned: u64 = upstreams.iter().map(|one| one.units_owned).sum();
        (owned >= units).then_some(())
    };
    wait_until("an owner of each unit", PATIENCE, owned).await?;
    Ok(())
}
