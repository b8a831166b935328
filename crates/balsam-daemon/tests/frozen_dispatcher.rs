//! A dispatcher daemon that freezes: it neither answers nor closes its connections.

mod common;

use common::{Cluster, Upstream, call};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// A frozen dispatcher must be detected by missing ping responses, well before the deadline of the
/// request.
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
