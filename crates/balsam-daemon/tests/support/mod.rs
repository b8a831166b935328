//! Starts a stand-in platform and daemons in the process of the test.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use balsam_daemon::config::Config;
use balsam_daemon::{Daemon, RunError};
use balsam_standins::harness::{Answer, Client, PlatformClient, Sent};
use balsam_standins::platform::start_platform;
use balsam_standins::serve::ServerHandle;
use balsam_wire::operator::{DAEMONS_PATH, DaemonsResponse, EPOCHS_PATH, EpochsResponse};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// The time limit for every expected event, which is far longer than any takes on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The operator credential of every test daemon.
pub const CREDENTIAL: &str = "operator-credential-0001";

/// The stand-in platform, with a client that sets its faults and reads its counters.
pub struct Platform {
    pub server: ServerHandle,
    pub client: PlatformClient,
}

impl Platform {
    pub async fn start() -> Self {
        let address = "127.0.0.1:0".parse().expect("an address");
        let server = start_platform(address).await.expect("a listener");
        let client = PlatformClient::new(Client::new(server.address(), WAIT_TIMEOUT));
        Self { server, client }
    }
}

/// A running daemon, with clients of its caller and operator listeners.
pub struct TestDaemon {
    pub caller: Client,
    pub operator: Client,
    pub peer: SocketAddr,
    stop: oneshot::Sender<()>,
    task: JoinHandle<Result<(), RunError>>,
}

impl TestDaemon {
    pub async fn start(platform: &Platform) -> Self {
        Self::start_at(platform, "127.0.0.1:0").await
    }

    /// Starts a daemon whose peer listener is bound to `peer_listen`.
    pub async fn start_at(platform: &Platform, peer_listen: &str) -> Self {
        let settings = json!({
            "caller_listen": "127.0.0.1:0",
            "operator_listen": "127.0.0.1:0",
            "peer_listen": peer_listen,
            "zone": "az-1",
            "region": "east",
            "platform": platform.server.address(),
            "peer_credential": "peer-credential-0001",
            "operator_credential": CREDENTIAL,
            "limits": { "grace_ms": 0 },
        });
        let config = Config::from_json(settings.to_string()).expect("valid settings");
        let daemon = Daemon::start(config).await.expect("free ports");
        let addresses = daemon.addresses();
        let (stop, stopped) = oneshot::channel::<()>();
        let task = actix_rt::spawn(daemon.run(async {
            // Receiving fails when the sender is dropped, which also stops the daemon.
            let _ = stopped.await;
        }));
        Self {
            caller: Client::new(addresses.caller, WAIT_TIMEOUT),
            operator: Client::new(addresses.operator, WAIT_TIMEOUT),
            peer: addresses.peer,
            stop,
            task,
        }
    }

    /// Stops the daemon, which leaves the roster first.
    pub async fn stop(self) {
        drop(self.stop);
        let result = self.task.await.expect("no panic");
        result.expect("a shutdown without errors");
    }

    /// Aborts the daemon, which does not leave the roster, and waits until its peer listener is closed.
    pub async fn kill(self) {
        self.task.abort();
        let started_at = Instant::now();
        while std::net::TcpListener::bind(self.peer).is_err() {
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "the peer listener is still open"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    pub async fn send(&self, sent: Sent) -> Answer {
        let sent = sent.with_header("authorization", format!("Bearer {CREDENTIAL}"));
        self.operator.send(sent).await.expect("an answer")
    }

    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> T {
        let answer = self.send(Sent::get(path)).await;
        assert_eq!(answer.status, 200, "{path}: {}", answer.text());
        serde_json::from_slice(&answer.body).expect("the documented JSON")
    }

    pub async fn post(&self, path: &str, body: &Value) -> Answer {
        self.send(Sent::post(path, body.to_string())).await
    }

    /// Waits until the daemon is in the roster and holds its freshness lease.
    pub async fn wait_until_joined(&self) {
        self.wait_for(EPOCHS_PATH, |found: &EpochsResponse| {
            found.joined && found.right_ms > 0
        })
        .await;
    }

    /// Waits until the daemon sees a roster of `count` daemons.
    pub async fn wait_for_roster(&self, count: usize) {
        self.wait_for(DAEMONS_PATH, |found: &DaemonsResponse| {
            found.daemons.len() == count
        })
        .await;
    }

    /// Polls `path` until its response satisfies `condition`, and returns that response.
    pub async fn wait_for<T: DeserializeOwned + std::fmt::Debug>(
        &self,
        path: &str,
        condition: impl Fn(&T) -> bool,
    ) -> T {
        let started_at = Instant::now();
        loop {
            let found: T = self.get(path).await;
            if condition(&found) {
                return found;
            }
            assert!(started_at.elapsed() < WAIT_TIMEOUT, "{path}: {found:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
