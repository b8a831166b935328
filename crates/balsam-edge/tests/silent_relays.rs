//! Daemons that greet the leader and pass none of its messages on.

mod support;

use balsam_edge::store::StoreChange;
use balsam_types::{ServiceName, UpstreamName};
use std::net::SocketAddr;
use std::time::Duration;
use support::{Behavior, Caller, Store, Upstream, entry, rows, start_at, upstream_row, wait_ready};
use tokio::net::UdpSocket;
use tokio::time::{interval, sleep, timeout};

/// Number of daemons, more than a leader sends messages to by itself.
const DAEMONS: usize = 30;

/// Number of silent relays. Each turn has six relays, so that most have a silent one.
const SILENT: usize = 6;

/// Number of changes, which fall into different turns of the relays.
const CHANGES: u64 = 8;

/// Pause between two changes. It is no multiple of a turn.
const CHANGE_PAUSE: Duration = Duration::from_millis(330);

/// Maximum time that the specification allows until a daemon knows an upstream.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

/// Slots of the upstream: so many that requests need no permits, whose refusal is a 503 as well.
const SLOTS: u32 = 32;

/// Interval at which silent relays greet the leader.
const GREETING_INTERVAL: Duration = Duration::from_millis(500);

/// Time for all daemons to greet the leader.
const GREETING_TIME: Duration = Duration::from_secs(2);

/// Maximum time to wait for a greeting.
const DATAGRAM_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the greeting that a daemon sends to its leader.
async fn greeting() -> Vec<u8> {
    let leader = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let address = leader.local_addr().expect("an address");
    let row = serde_json::json!({"daemon": "d9", "incarnation": 9, "address": address});
    let store = Store::start(rows(&[]));
    store.put(StoreChange::Cluster {
        key: "lead".into(),
        version: 1,
        value: Some(row.to_string().into()),
    });
    let _edge = start_at(&store, DAEMONS + 1).await;
    let mut buffer = vec![0; 65_536];
    let received = timeout(DATAGRAM_TIMEOUT, leader.recv_from(&mut buffer)).await;
    let (length, _) = received.expect("a greeting in time").expect("a datagram");
    buffer.truncate(length);
    buffer
}

/// Greets the leader from a socket that drops whatever it receives.
async fn greet(socket: UdpSocket, leader: SocketAddr, greeting: Vec<u8>) {
    let mut ticks = interval(GREETING_INTERVAL);
    loop {
        ticks.tick().await;
        socket.send_to(&greeting, leader).await.expect("sent");
    }
}

/// Guards against daemons that miss a change, and do not notice it, because the daemon that should
/// have passed it on did not.
#[actix_rt::test]
async fn silent_relays() {
    let greeting = greeting().await;
    let upstream = Upstream::start("u1", &[Behavior::Respond]).await;
    let store = Store::start(rows(&[]));
    let mut daemons = vec![start_at(&store, 0).await];
    wait_ready(&daemons[0]).await;
    sleep(Duration::from_secs(1)).await;
    let row = store.cluster_row("lead").await.expect("a leader");
    let row: serde_json::Value = serde_json::from_slice(&row).expect("a row in JSON");
    let leader = row["address"].as_str().and_then(|text| text.parse().ok());
    let leader: SocketAddr = leader.expect("the address of the leader");
    for _ in 0..SILENT {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        actix_rt::spawn(greet(socket, leader, greeting.clone()));
    }
    for index in 1..DAEMONS {
        daemons.push(start_at(&store, index).await);
    }
    for daemon in &daemons {
        wait_ready(daemon).await;
    }
    sleep(GREETING_TIME).await;
    for number in 1..CHANGES {
        let mut other = entry(&upstream);
        other.name = UpstreamName::new(format!("other-{number}")).expect("a valid name");
        other.service = ServiceName::new("others").expect("a valid name");
        store.put(upstream_row(other));
        sleep(CHANGE_PAUSE).await;
    }
    let mut known = entry(&upstream);
    known.slots = SLOTS;
    store.put(upstream_row(known));
    sleep(PROPAGATION_LIMIT).await;
    let mut callers = Vec::new();
    for daemon in &daemons {
        let mut caller = Caller::open(daemon.addresses().callers).await;
        caller.request("GET", "/read/x", "r1").await;
        callers.push(caller);
    }
    for (index, mut caller) in callers.into_iter().enumerate() {
        let status = caller.response().await.0;
        // The upstream serves one connection at a time, so that most requests time out there. A
        // daemon that does not know it answers 503.
        assert!([200, 504].contains(&status), "daemon {index}: {status}");
    }
}
