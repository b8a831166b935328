//! The processes of a cluster.

use super::DaemonProcess;
use super::plan::{ClusterPlan, ServicePlan, UpstreamPlan};
use crate::harness::error::{ProcessSnafu, UnannouncedSnafu};
use crate::harness::{
    Child, ChildBuilder, Client, FaultProxy, HarnessError, LinkFaults, LinkMode, PlatformClient,
    Program, UpstreamClient,
};
use balsam_wire::platform::{InstanceBody, InstanceKindBody, InstanceStateBody, InstancesUpdate};
use balsam_wire::upstream::JournalResponse;
use snafu::{OptionExt, ResultExt};
use std::net::SocketAddr;
use std::time::Duration;
use tempfile::TempDir;

const START_DEADLINE: Duration = Duration::from_secs(20);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause in which an upstream handles the bytes that had arrived when its links were cut.
const CUT_PAUSE: Duration = Duration::from_millis(100);

/// An upstream in a process of its own.
#[derive(Debug)]
pub struct UpstreamProcess {
    /// How it was started.
    pub plan: UpstreamPlan,
    /// The running process.
    pub child: Child,
    /// The links from daemons to the upstream.
    pub link: FaultProxy,
    /// A client that does not use the links.
    pub client: UpstreamClient,
}

impl UpstreamProcess {
    async fn start(plan: &UpstreamPlan) -> Result<Self, HarnessError> {
        let link = FaultProxy::start(None).await?;
        let (child, address) = spawn_upstream(plan).await?;
        link.set_target(address);
        let client = Client::new(address, REQUEST_TIMEOUT);
        Ok(Self {
            client: UpstreamClient::new(client, plan.service.clone()),
            plan: plan.clone(),
            child,
            link,
        })
    }

    /// Ends the process, and returns the journal as it was when the last daemon lost it.
    ///
    /// The journal is lost with the process, so that the links are cut before it is read.
    ///
    /// # Errors
    ///
    /// Returns an error if the journal cannot be read or the process cannot be killed.
    pub async fn kill(&mut self) -> Result<JournalResponse, HarnessError> {
        self.link.set_mode(LinkMode::Cut);
        actix_rt::time::sleep(CUT_PAUSE).await;
        let journal = self.client.journal().await?;
        self.child.kill()?;
        Ok(journal)
    }

    /// Ends the running process, if it still runs, and starts a new one behind the same links.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub async fn restart(&mut self) -> Result<(), HarnessError> {
        let (child, address) = spawn_upstream(&self.plan).await?;
        // The replaced child is killed when it is dropped.
        self.child = child;
        let client = Client::new(address, REQUEST_TIMEOUT);
        self.client = UpstreamClient::new(client, self.plan.service.clone());
        self.link.set_target(address);
        self.link.set_mode(LinkMode::Open);
        Ok(())
    }

    /// Kills the process and closes its links, so that connections to it are refused.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be killed.
    pub async fn crash(&mut self) -> Result<(), HarnessError> {
        self.child.kill()?;
        self.link = FaultProxy::start(None).await?;
        Ok(())
    }

    /// Returns the upstream's entry of the instance list.
    pub fn instance(&self, state: InstanceStateBody) -> InstanceBody {
        InstanceBody {
            name: self.plan.name.clone(),
            kind: InstanceKindBody::Upstream,
            service: Some(self.plan.service.clone()),
            zone: self.plan.zone.clone(),
            address: self.link.address(),
            slots: self.plan.slots,
            connections: self.plan.connections,
            state,
            checks_grants: self.plan.checks_grants,
        }
    }
}

async fn spawn_upstream(plan: &UpstreamPlan) -> Result<(Child, SocketAddr), HarnessError> {
    let mut arguments = vec![
        "--name".to_owned(),
        plan.name.to_string(),
        "--service".to_owned(),
        plan.service.to_string(),
        "--slots".to_owned(),
        plan.slots.to_string(),
        "--connections".to_owned(),
        plan.connections.to_string(),
    ];
    if !plan.checks_grants {
        arguments.push("--no-check-grants".to_owned());
    }
    let builder = ChildBuilder::new(Program::Upstream)
        .with_arguments(arguments)
        .with_arguments(plan.arguments.iter().cloned());
    announced(builder.start(START_DEADLINE).await?, Program::Upstream)
}

fn announced(child: Child, program: Program) -> Result<(Child, SocketAddr), HarnessError> {
    let address = child.address("address").context(UnannouncedSnafu {
        program: program.name(),
        field: "address",
    })?;
    Ok((child, address))
}

/// A running deployment; dropping it kills all of its processes.
#[derive(Debug)]
pub struct Cluster {
    /// The plan.
    pub plan: ClusterPlan,
    /// The platform's process.
    pub platform_child: Child,
    /// A client of the platform that does not use the daemons' links.
    pub platform: PlatformClient,
    /// The upstreams in the order of the plan.
    pub upstreams: Vec<UpstreamProcess>,
    /// The daemons in the order of the plan.
    pub daemons: Vec<DaemonProcess>,
    /// Settings and log files; removed when the cluster is dropped.
    pub folder: TempDir,
}

impl Cluster {
    /// Starts all processes and lists the upstreams as instances; services are not yet created.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub async fn start(plan: ClusterPlan) -> Result<Self, HarnessError> {
        let program = Program::Daemon.name();
        let folder = TempDir::new().context(ProcessSnafu { program })?;
        let builder = ChildBuilder::new(Program::Platform);
        let (platform_child, address) =
            announced(builder.start(START_DEADLINE).await?, Program::Platform)?;
        let platform = PlatformClient::new(Client::new(address, REQUEST_TIMEOUT));
        let mut upstreams = Vec::with_capacity(plan.upstreams.len());
        for upstream in &plan.upstreams {
            upstreams.push(UpstreamProcess::start(upstream).await?);
        }
        let live = |upstream: &UpstreamProcess| upstream.instance(InstanceStateBody::Live);
        let update = InstancesUpdate {
            put: upstreams.iter().map(live).collect(),
            ..InstancesUpdate::default()
        };
        platform.change_instances(&update).await?;
        let mut daemons = Vec::with_capacity(plan.daemon_zones.len());
        for (index, zone) in plan.daemon_zones.iter().enumerate() {
            let starting = DaemonProcess::start(&plan, index, zone, address, folder.path());
            daemons.push(starting.await?);
        }
        Ok(Self {
            plan,
            platform_child,
            platform,
            upstreams,
            daemons,
            folder,
        })
    }

    /// Creates the services of the plan through the first daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if an edit is not accepted.
    pub async fn create_services(&self) -> Result<(), HarnessError> {
        let program = Program::Daemon.name();
        let field = "operator";
        let first = self.daemons.first();
        let first = first.context(UnannouncedSnafu { program, field })?;
        let edits = self.plan.services.iter().flat_map(ServicePlan::edits);
        first.operator()?.edit(edits.collect(), true).await?;
        Ok(())
    }

    /// Sets the faults of the links between two daemons, in both directions of connecting.
    pub fn set_peer_faults(&self, one: usize, other: usize, faults: Option<LinkFaults>) {
        for (from, to) in [(one, other), (other, one)] {
            let process = self.daemons[from].child.id();
            let link = &self.daemons[to].peer_link;
            link.set_process_faults(process, faults);
        }
    }

    /// Sets the faults of the link from a daemon to an upstream.
    pub fn set_upstream_faults(&self, daemon: usize, upstream: usize, faults: Option<LinkFaults>) {
        let process = self.daemons[daemon].child.id();
        let link = &self.upstreams[upstream].link;
        link.set_process_faults(process, faults);
    }

    /// Delays all links between zones by `delay_ms` in each direction.
    ///
    /// A restarted process needs its delays set again.
    pub fn set_zone_delay(&self, delay_ms: u64) {
        let zones = &self.plan.daemon_zones;
        let delay = |near: bool| LinkFaults {
            delay_ms: if near { 0 } else { delay_ms },
            ..LinkFaults::default()
        };
        for (one, one_zone) in zones.iter().enumerate() {
            for (other, other_zone) in zones.iter().enumerate().skip(one + 1) {
                let faults = delay(one_zone == other_zone);
                self.set_peer_faults(one, other, Some(faults));
            }
            for (upstream, process) in self.upstreams.iter().enumerate() {
                let faults = delay(*one_zone == process.plan.zone);
                self.set_upstream_faults(one, upstream, Some(faults));
            }
        }
    }

    /// Reads the journals of the upstreams that answer.
    pub async fn journals(&self) -> Vec<JournalResponse> {
        let reading = self
            .upstreams
            .iter()
            .map(|upstream| upstream.client.journal());
        let read = futures_util::future::join_all(reading).await;
        read.into_iter().filter_map(Result::ok).collect()
    }
}
