//! Daemons in the test's own process, and the operator client as a process.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use balsam_daemon::Daemon;
use balsam_daemon::config::Config;
use balsam_standins::platform::start_platform;
use balsam_standins::serve::ServerHandle;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// The wait for anything that must happen; far longer than it takes on a busy machine.
const PATIENCE: Duration = Duration::from_secs(30);

/// The operator credential of every daemon.
pub const CREDENTIAL: &str = "operator-credential-0001";

/// What the operator client printed and returned.
#[derive(Debug)]
pub struct Printed {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl Printed {
    /// Returns the printed result, which must be JSON and a success.
    pub fn json(&self) -> Value {
        assert_eq!(self.code, 0, "{self:?}");
        serde_json::from_str(&self.out).expect("JSON on standard output")
    }
}

/// Runs the operator client with `arguments` as a process.
pub async fn run(credential: Option<&str>, arguments: &[&str]) -> Printed {
    let mut command = Command::new(env!("CARGO_BIN_EXE_balsamctl"));
    command.args(arguments).stdin(Stdio::null());
    match credential {
        Some(credential) => command.env("BALSAM_CREDENTIAL", credential),
        None => command.env_remove("BALSAM_CREDENTIAL"),
    };
    // The daemons of the test run on this thread and must answer meanwhile.
    let output = tokio::task::spawn_blocking(move || command.output());
    let output = output.await.expect("no panic").expect("a built binary");
    Printed {
        code: output.status.code().unwrap_or(-1),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        err: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// A platform and daemons.
pub struct Deployment {
    platform: ServerHandle,
    daemons: Vec<(SocketAddr, JoinHandle<()>)>,
}

impl Deployment {
    /// Starts daemons and waits until each sees the roster of all.
    pub async fn start(count: usize) -> Self {
        let address = "127.0.0.1:0".parse().expect("an address");
        let platform = start_platform(address).await.expect("a listener");
        let mut deployment = Self {
            platform,
            daemons: Vec::new(),
        };
        for _ in 0..count {
            deployment.start_daemon().await;
        }
        for index in 0..count {
            deployment.wait_for_roster(index, count).await;
        }
        deployment
    }

    async fn start_daemon(&mut self) {
        let settings = json!({
            "caller_listen": "127.0.0.1:0",
            "operator_listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "zone": "az-1",
            "region": "east",
            "platform": self.platform.address(),
            "peer_credential": "peer-credential-0001",
            "operator_credential": CREDENTIAL,
        });
        let config = Config::from_json(settings.to_string()).expect("valid settings");
        let daemon = Daemon::start(config).await.expect("free ports");
        let operator = daemon.addresses().operator;
        let task = actix_rt::spawn(async {
            let ended = daemon.run(std::future::pending()).await;
            ended.expect("no task ends");
        });
        self.daemons.push((operator, task));
    }

    async fn wait_for_roster(&self, index: usize, count: usize) {
        let begun = Instant::now();
        loop {
            let found = self.ctl(index, &["--json", "daemons"]).await;
            let members = found.json()["daemons"].as_array().map(Vec::len);
            if members == Some(count) {
                return;
            }
            assert!(begun.elapsed() < PATIENCE, "{found:?}");
        }
    }

    /// Ends a daemon without its leaving the roster.
    pub fn kill(&mut self, index: usize) {
        self.daemons.remove(index).1.abort();
    }

    /// Runs the operator client against a daemon.
    pub async fn ctl(&self, index: usize, arguments: &[&str]) -> Printed {
        let server = self.daemons[index].0.to_string();
        let mut all = vec!["--server", &server];
        all.extend(arguments);
        run(Some(CREDENTIAL), &all).await
    }

    /// Returns the operator address of a daemon.
    pub fn operator(&self, index: usize) -> SocketAddr {
        self.daemons[index].0
    }
}
