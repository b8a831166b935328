//! Damaged datagrams and damaged settings files must not stop a daemon.

#[path = "support/settings.rs"]
mod settings;
mod support;

use balsam_edge::settings::Settings;
use balsam_edge::store::StoreChange;
use balsam_fuzz::Damager;
use settings::settings_json;
use std::net::SocketAddr;
use std::time::Duration;
use support::{Behavior, Caller, Store, Upstream, ready_status, rows, start_at, wait_ready};
use tokio::net::UdpSocket;
use tokio::time::timeout;

/// Number of damaged copies of each datagram, and of the settings.
const COPIES: u64 = 2_000;

/// Number of the daemon's own datagrams that are damaged and sent back.
const DATAGRAMS: usize = 3;

/// Maximum time to wait for each datagram from the daemon.
const DATAGRAM_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the store row that names the leader, for a leader at `address`.
fn leader_row(address: SocketAddr) -> StoreChange {
    let row = serde_json::json!({"daemon": "d9", "incarnation": 9, "address": address});
    StoreChange::Cluster {
        key: "lead".into(),
        version: 1,
        value: Some(row.to_string().into()),
    }
}

/// Fails if a daemon panics, hangs or stops serving after damaged datagrams.
#[actix_rt::test]
async fn damaged_datagrams() {
    let upstream = Upstream::start("u1", &[Behavior::Respond]).await;
    let leader = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let store = Store::start(rows(&[&upstream]));
    store.put(leader_row(leader.local_addr().expect("an address")));
    let edge = start_at(&store, 1).await;
    wait_ready(&edge).await;
    let mut buffer = vec![0; 65_536];
    for number in 0..DATAGRAMS {
        let received = timeout(DATAGRAM_TIMEOUT, leader.recv_from(&mut buffer)).await;
        let (length, from) = received.expect("a datagram in time").expect("a datagram");
        let mut damager = Damager::new(number as u64);
        for _ in 0..COPIES {
            let damaged = damager.damage(&buffer[..length]);
            leader.send_to(&damaged, from).await.expect("sent");
        }
    }
    assert_eq!(ready_status(&edge).await, 200);
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", "/read/x", "r1").await;
    assert_eq!(caller.response().await.0, 200);
}

/// Fails if a damaged settings file makes the daemon panic instead of being rejected.
#[test]
fn damaged_settings() {
    let valid_json = settings_json().to_string();
    let file = tempfile::NamedTempFile::new().expect("a file");
    let mut damager = Damager::new(0);
    let mut refused = 0;
    for _ in 0..COPIES {
        std::fs::write(file.path(), damager.damage(&valid_json)).expect("a written file");
        refused += u64::from(Settings::read(file.path()).is_err());
    }
    assert!(refused > COPIES / 2, "{refused} refused");
}
