//! Upstreams that never come to the head of their answer.

mod common;

use common::{Cluster, Upstream, call};
use tokio::io::AsyncWriteExt;

/// Guards against a daemon that reads interim answers for as long as an upstream sends them, until
/// the request's deadline has passed.
#[actix_rt::test]
async fn interim_answers() {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(1, upstream.address).await;
    actix_rt::spawn(async move {
        loop {
            let mut received = upstream.next().await;
            actix_rt::spawn(async move {
                let interim = b"HTTP/1.1 100 Continue\r\n\r\n".repeat(100);
                while received.socket.write_all(&interim).await.is_ok() {}
            });
        }
    });
    let answer = call(cluster.entry().caller, "GET /files/k1", "").await;
    assert_eq!(answer.outcome(), ("unknown", "upstream-lost"));
}
