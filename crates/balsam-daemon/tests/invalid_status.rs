//! Upstreams that answer with a status that HTTP does not have.

mod common;

use common::{Cluster, Upstream, call};
use tokio::io::AsyncWriteExt;

/// Guards against an answer with status 000 that is taken for an interim one, and against statuses
/// above 599 that are passed on as answers.
#[rstest::rstest]
#[case::zero("000")]
#[case::largest("999")]
#[actix_rt::test]
async fn answer_is_unusable(#[case] status: &'static str) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(1, upstream.address).await;
    actix_rt::spawn(async move {
        loop {
            let mut received = upstream.next().await;
            let answer = format!("HTTP/1.1 {status} Trouble\r\nContent-Length: 0\r\n\r\n");
            // The daemon may have closed the connection.
            drop(received.socket.write_all(answer.as_bytes()).await);
        }
    });
    let answer = call(cluster.entry().caller, "GET /files/k1", "").await;
    assert_eq!(answer.outcome(), ("unknown", "upstream-lost"));
}
