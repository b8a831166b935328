//! Guards requests against a dispatcher that neither answers nor closes its connections.

mod common;

use common::{Cluster, Upstream, call};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Guards that a frozen peer is noticed by its missing pings and not only at the deadline.
#[actix_rt::test]
async fn missing_pings() {
    let upstream = Upstream::start().await;
    let cluster = Cluster::start(2, upstream.address).await;
    let frozen = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = frozen.local_addr().unwrap();
    cluster.entry().change(|view| {
        let state = Arc::make_mut(&mut view.state);
        let dispatcher = state.daemons.values_mut().last().expect("a daemon");
        dispatcher.peer_address = address;
    });
    let started = Instant::now();
    let fields = "balsam-deadline-ms: 60000\r\n";
    let answer = call(cluster.entry().caller, "POST /files/k1", fields).await;
    assert_eq!(answer.outcome(), ("unknown", "dispatcher-lost"));
    assert!(started.elapsed() < Duration::from_secs(30));
}
