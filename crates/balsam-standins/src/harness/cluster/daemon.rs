//! One daemon of a cluster.

use super::plan::ClusterPlan;
use crate::harness::error::{ProcessSnafu, UnannouncedSnafu};
use crate::harness::{
    Child, ChildBuilder, Client, FaultProxy, HarnessError, OperatorClient, Program,
};
use balsam_types::ZoneName;
use serde_json::json;
use snafu::{OptionExt, ResultExt};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

const START_DEADLINE: Duration = Duration::from_secs(20);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const PEER_CREDENTIAL: &str = "test-peer-credential";
const OPERATOR_CREDENTIAL: &str = "test-operator-credential";

/// A daemon in a process of its own; it can be started again at the same peer address.
#[derive(Debug)]
pub struct DaemonProcess {
    settings_file: PathBuf,
    log_file: PathBuf,
    /// The running process.
    pub child: Child,
    /// The link from the daemon to the platform.
    pub platform_link: FaultProxy,
    /// The links from other daemons to this one.
    pub peer_link: FaultProxy,
}

impl DaemonProcess {
    /// Starts daemon number `index`, whose files lie in `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not start.
    pub(super) async fn start(
        plan: &ClusterPlan,
        index: usize,
        zone: &ZoneName,
        platform: SocketAddr,
        folder: &Path,
    ) -> Result<Self, HarnessError> {
        let platform_link = FaultProxy::start(platform).await?;
        let peer_link = FaultProxy::start(None).await?;
        let settings_file = folder.join(format!("daemon-{index}.json"));
        let log_file = folder.join(format!("daemon-{index}.log"));
        let any_port = "127.0.0.1:0";
        let settings = json!({
            "caller_listen": any_port,
            "operator_listen": any_port,
            "peer_listen": any_port,
            "peer_advertise": peer_link.address(),
            "zone": zone,
            "region": "region-1",
            "platform": platform_link.address(),
            "peer_credential": PEER_CREDENTIAL,
            "operator_credential": OPERATOR_CREDENTIAL,
            "log_level": plan.log_level,
            "limits": { "drain_ms": plan.drain_ms },
        });
        let program = Program::Daemon.name();
        std::fs::write(&settings_file, settings.to_string()).context(ProcessSnafu { program })?;
        let child = spawn(&settings_file, &log_file).await?;
        let daemon = Self {
            settings_file,
            log_file,
            child,
            platform_link,
            peer_link,
        };
        daemon.connect_peer_link()?;
        Ok(daemon)
    }

    /// Ends the running process, if it still runs, and starts a new one at the same peer address.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not start.
    pub async fn restart(&mut self) -> Result<(), HarnessError> {
        // The replaced child is killed when it is dropped.
        self.child = spawn(&self.settings_file, &self.log_file).await?;
        self.connect_peer_link()
    }

    /// Returns the address for callers.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon did not announce it.
    pub fn caller_address(&self) -> Result<SocketAddr, HarnessError> {
        self.announced("caller")
    }

    /// Returns a client of the operator listener.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon did not announce the listener.
    pub fn operator(&self) -> Result<OperatorClient, HarnessError> {
        let client = Client::new(self.announced("operator")?, REQUEST_TIMEOUT);
        Ok(OperatorClient::new(client.with_bearer(OPERATOR_CREDENTIAL)))
    }

    /// Returns the log as written so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_file).unwrap_or_default()
    }

    fn announced(&self, field: &'static str) -> Result<SocketAddr, HarnessError> {
        let program = Program::Daemon.name();
        let address = self.child.address(field);
        address.context(UnannouncedSnafu { program, field })
    }

    fn connect_peer_link(&self) -> Result<(), HarnessError> {
        self.peer_link.set_target(self.announced("peer")?);
        Ok(())
    }
}

async fn spawn(settings_file: &Path, log_file: &Path) -> Result<Child, HarnessError> {
    let settings = settings_file.to_string_lossy();
    ChildBuilder::new(Program::Daemon)
        .with_arguments(["--settings", &settings])
        .with_log_file(log_file)
        .start(START_DEADLINE)
        .await
}
