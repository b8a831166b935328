//! The parts of the demonstration.

use super::DemoError;
use super::error::{
    DaemonSnafu, DaemonTaskSnafu, ExchangeSnafu, NameSnafu, SettingsSnafu, StandinSnafu,
};
use super::services::{DemoService, SLICES};
use crate::harness::cluster::{ServicePlan, wait_until};
use crate::harness::{Client, OperatorClient, PlatformClient, UpstreamClient};
use crate::platform::start_platform;
use crate::serve::ServerHandle;
use crate::upstream::{UpstreamOptions, start_upstream};
use balsam_daemon::config::Config;
use balsam_daemon::{Daemon, RunError};
use balsam_types::UpstreamName;
use balsam_wire::platform::{InstanceBody, InstanceKindBody, InstanceStateBody, InstancesUpdate};
use serde_json::json;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// The longest wait for any step; a free machine needs far less.
pub(super) const PATIENCE: Duration = Duration::from_secs(30);
const DAEMONS: usize = 2;
const UPSTREAMS_PER_SERVICE: usize = 2;
const PEER_CREDENTIAL: &str = "demo-peer-credential";
const OPERATOR_CREDENTIAL: &str = "demo-operator-credential";

#[derive(Debug)]
struct RunningDaemon {
    callers: SocketAddr,
    operators: SocketAddr,
    stop: oneshot::Sender<()>,
    task: JoinHandle<Result<(), RunError>>,
}

/// The running parts.
#[derive(Debug)]
pub struct Deployment {
    platform: ServerHandle,
    upstreams: Vec<(UpstreamClient, ServerHandle)>,
    daemons: Vec<RunningDaemon>,
}

impl Deployment {
    /// Starts all parts, creates the services and waits until each unit has an owner.
    ///
    /// # Errors
    ///
    /// Returns an error if a part does not start or the services do not become available.
    pub async fn start() -> Result<Self, DemoError> {
        let listening = start_platform(any_port()).await;
        let platform = listening.context(StandinSnafu {
            standin: "platform",
        })?;
        let platform_client = PlatformClient::new(Client::new(platform.address(), PATIENCE));
        let mut upstreams = Vec::new();
        for service in DemoService::ALL {
            for number in 1..=UPSTREAMS_PER_SERVICE {
                upstreams.push(start_listed(&platform_client, service, number).await?);
            }
        }
        let mut daemons = Vec::new();
        for number in 1..=DAEMONS {
            daemons.push(start_daemon(platform.address(), number).await?);
        }
        let deployment = Self {
            platform,
            upstreams,
            daemons,
        };
        deployment.create_services().await?;
        Ok(deployment)
    }

    /// Returns a client of the listener for callers of daemon `number`, counted from 0.
    pub fn callers(&self, number: usize) -> Client {
        Client::new(self.daemons[number % self.daemons.len()].callers, PATIENCE)
    }

    /// Returns a client of the operator listener of the first daemon.
    pub fn operator(&self) -> OperatorClient {
        let client = Client::new(self.daemons[0].operators, PATIENCE);
        OperatorClient::new(client.with_bearer(OPERATOR_CREDENTIAL))
    }

    /// Returns clients of the upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamClient> {
        self.upstreams.iter().map(|(client, _)| client)
    }

    /// Returns the numbers of daemons and upstreams.
    pub fn counts(&self) -> (usize, usize) {
        (self.daemons.len(), self.upstreams.len())
    }

    /// Lets the daemons leave in order, then stops the stand-ins.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon ended by itself.
    pub async fn stop(self) -> Result<(), DemoError> {
        let stopping = self.daemons.into_iter().map(|daemon| {
            drop(daemon.stop);
            daemon.task
        });
        for ended in futures_util::future::join_all(stopping).await {
            ended.context(DaemonTaskSnafu)?.context(DaemonSnafu)?;
        }
        for (_, server) in self.upstreams {
            server.stop().await;
        }
        self.platform.stop().await;
        Ok(())
    }

    async fn create_services(&self) -> Result<(), DemoError> {
        let operator = self.operator();
        let joined = || async {
            let roster = operator.daemons().await.ok()?.daemons;
            (roster.len() == DAEMONS).then_some(())
        };
        let joining = wait_until("a complete roster", PATIENCE, joined).await;
        joining.context(ExchangeSnafu)?;
        let plans: Result<Vec<_>, _> = DemoService::ALL
            .map(DemoService::plan)
            .into_iter()
            .collect();
        let plans = plans.context(NameSnafu)?;
        let edits = plans.iter().flat_map(ServicePlan::edits).collect();
        operator.edit(edits, true).await.context(ExchangeSnafu)?;
        let units = SLICES * DemoService::ALL.len() as u64;
        let owned = || async {
            let upstreams = operator.upstreams().await.ok()?.upstreams;
            let owned: u64 = upstreams.iter().map(|upstream| upstream.units_owned).sum();
            (owned == units).then_some(())
        };
        let owning = wait_until("an owner of each unit", PATIENCE, owned).await;
        owning.context(ExchangeSnafu)?;
        Ok(())
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start_listed(
    platform: &PlatformClient,
    service: DemoService,
    number: usize,
) -> Result<(UpstreamClient, ServerHandle), DemoError> {
    let text = format!("{}-{number}", service.as_str());
    let name = UpstreamName::new(&text).context(NameSnafu)?;
    let service = service.name().context(NameSnafu)?;
    let mut options = UpstreamOptions::new(name.clone(), service.clone());
    options.embedded = true;
    let (slots, connections) = (options.slots, options.connections as u32);
    let listening = start_upstream(options).await;
    let server = listening.context(StandinSnafu { standin: text })?;
    let instance = InstanceBody {
        name,
        kind: InstanceKindBody::Upstream,
        service: Some(service.clone()),
        zone: "zone-1".parse().context(NameSnafu)?,
        address: server.address(),
        slots,
        connections,
        state: InstanceStateBody::Live,
        checks_grants: true,
    };
    let update = InstancesUpdate {
        put: vec![instance],
        ..InstancesUpdate::default()
    };
    let listed = platform.change_instances(&update).await;
    listed.context(ExchangeSnafu)?;
    let client = UpstreamClient::new(Client::new(server.address(), PATIENCE), service);
    Ok((client, server))
}

async fn start_daemon(platform: SocketAddr, number: usize) -> Result<RunningDaemon, DemoError> {
    let settings = json!({
        "caller_listen": any_port(),
        "operator_listen": any_port(),
        "peer_listen": any_port(),
        "zone": format!("zone-{number}"),
        "region": "region-1",
        "platform": platform,
        "peer_credential": PEER_CREDENTIAL,
        "operator_credential": OPERATOR_CREDENTIAL,
    });
    let config = Config::from_json(settings.to_string()).context(SettingsSnafu)?;
    let daemon = Daemon::start(config).await.context(DaemonSnafu)?;
    let addresses = daemon.addresses();
    let (stop, stopped) = oneshot::channel::<()>();
    let task = actix_rt::spawn(daemon.run(async {
        // A dropped sender also stops the daemon.
        let _ = stopped.await;
    }));
    Ok(RunningDaemon {
        callers: addresses.caller,
        operators: addresses.operator,
        stop,
        task,
    })
}
