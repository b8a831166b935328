//! Guards a daemon against damaged datagrams and damaged settings files.

#[path = "support/settings.rs"]
mod settings;
mod support;

use balsam_edge::settings::Settings;
use balsam_edge::store::StoreChange;
use balsam_fuzz::Damager;
use settings::settings_json;
use std::net::SocketAddr;
use std::time::Duration;
use support::{Act, Caller, Store, Upstream, ready_status, rows, start_at, wait_ready};
use tokio::net::UdpSocket;
use tokio::time::timeout;

/// Damaged copies of each datagram, and of the settings.
const COPIES: u64 = 2_000;

/// Datagrams of the daemon that are damaged.
const DATAGRAMS: usize = 3;

/// How long the daemon may take for its first datagrams.
const HEARD_WITHIN: Duration = Duration::from_secs(5);

/// Returns the row that names a leader at an address.
fn lead_row(address: SocketAddr) -> StoreChange {
    let row = serde_json::json!({"daemon": "d9", "incarnation": 9, "address": address});
    StoreChange::Cluster {
        key: "lead".into(),
        version: 1,
        value: Some(row.to_string().into()),
    }
}

/// Guards against a daemon that ends, hangs or stops serving after damaged datagrams of others.
#[actix_rt::test]
async fn damaged_datagrams() {
    let upstream = Upstream::start("u1", &[Act::Answer]).await;
    let leader = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let store = Store::start(rows(&[&upstream]));
    store.put(lead_row(leader.local_addr().expect("an address")));
    let edge = start_at(&store, 1).await;
    wait_ready(&edge).await;
    let mut buffer = vec![0; 65_536];
    for number in 0..DATAGRAMS {
        let heard = timeout(HEARD_WITHIN, leader.recv_from(&mut buffer)).await;
        let (length, from) = heard.expect("a datagram in time").expect("a datagram");
        let mut damager = Damager::new(number as u64);
        for _ in 0..COPIES {
            let damaged = damager.damage(&buffer[..length]);
            leader.send_to(&damaged, from).await.expect("sent");
        }
    }
    assert_eq!(ready_status(&edge).await, 200);
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", "/read/x", "r1").await;
    assert_eq!(caller.answer().await.0, 200);
}

/// Guards against settings files that make the daemon panic instead of being refused.
#[test]
fn damaged_settings() {
    let whole = settings_json().to_string();
    let file = tempfile::NamedTempFile::new().expect("a file");
    let mut damager = Damager::new(0);
    let mut refused = 0;
    for _ in 0..COPIES {
        std::fs::write(file.path(), damager.damage(&whole)).expect("a written file");
        refused += u64::from(Settings::read(file.path()).is_err());
    }
    assert!(refused > COPIES / 2, "{refused} refused");
}
