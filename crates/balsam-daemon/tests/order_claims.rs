//! Claims of orders: a request of rank `order` runs at most once for each idempotency key, no matter
//! who repeats it and when.

mod common;

use balsam_daemon::control::edge::TableExchange;
use balsam_decide::orders::{ClaimRow, OrderKey, ReadRow, RowWrite, TxResult};
use balsam_types::{Map, new_map};
use common::{Cluster, TestDaemon, Upstream, call, open_request, read_answer};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

const ORDER_HEADERS: &str = "balsam-rank: order\r\nidempotency-key: o1\r\n";

type Rows = Map<OrderKey, (u64, ClaimRow)>;

fn write_rows(rows: &mut Rows, writes: Vec<RowWrite>) -> TxResult {
    let version = |rows: &Rows, key| rows.get(key).map_or(0, |(version, _)| *version);
    let conflicts = writes
        .iter()
        .filter(|write| version(rows, &write.key) != write.version);
    let conflicts: Vec<OrderKey> = conflicts.map(|write| write.key.clone()).collect();
    if !conflicts.is_empty() {
        return TxResult::Conflicts(conflicts);
    }
    for write in writes {
        rows.insert(write.key, (write.version + 1, write.row));
    }
    TxResult::Committed
}

async fn serve_table(mut exchanges: mpsc::Receiver<TableExchange>) {
    let mut rows = new_map();
    while let Some(exchange) = exchanges.recv().await {
        match exchange {
            TableExchange::WriteOrders { writes, reply } => {
                let _ = reply.send(write_rows(&mut rows, writes));
            }
            TableExchange::ReadOrders { keys, reply } => {
                let read = |key: OrderKey| ReadRow {
                    row: rows.get(&key).cloned(),
                    key,
                };
                let _ = reply.send(Some(keys.into_iter().map(read).collect()));
            }
            TableExchange::ReadCrashes { .. } | TableExchange::WriteCrashes { .. } => {}
        }
    }
}

fn start_table(daemon: &mut TestDaemon) {
    let exchanges = daemon.table.take().expect("table requests");
    actix_rt::spawn(serve_table(exchanges));
}

/// Guards against a repeated order that runs again or does not get the recorded response.
#[actix_rt::test]
async fn repeated_order() {
    let mut upstream = Upstream::start().await;
    let mut cluster = Cluster::start(1, upstream.address).await;
    start_table(&mut cluster.daemons[0]);
    let entry = cluster.entry().caller;
    let mut first = open_request(entry, "POST /files/k1", ORDER_HEADERS).await;
    let request = upstream.next().await;
    assert_eq!(request.field("idempotency-key"), Some("o1"));
    let during = call(entry, "POST /files/k1", ORDER_HEADERS).await;
    assert_eq!(during.outcome(), ("unknown", "claimed-before"));
    request.ok("receipt").await;
    assert_eq!(read_answer(&mut first).await.body, b"receipt");
    sleep(Duration::from_millis(200)).await;
    let again = call(entry, "POST /files/k1", ORDER_HEADERS).await;
    assert_eq!((again.status, again.body), (200, b"receipt".to_vec()));
    assert!(upstream.try_next().is_none(), "the order ran twice");
}

/// Guards against an order that is sent again after its upstream connection broke, when it is unknown
/// whether it ran.
#[actix_rt::test]
async fn broken_order() {
    let mut upstream = Upstream::start().await;
    let mut cluster = Cluster::start(1, upstream.address).await;
    start_table(&mut cluster.daemons[0]);
    let entry = cluster.entry().caller;
    let mut first = open_request(entry, "POST /files/k1", ORDER_HEADERS).await;
    upstream.next().await.send_and_close("").await;
    let answer = read_answer(&mut first).await;
    assert_eq!(
        (answer.status, answer.outcome()),
        (504, ("unknown", "upstream-lost"))
    );
    sleep(Duration::from_millis(200)).await;
    let again = call(entry, "POST /files/k1", ORDER_HEADERS).await;
    assert_eq!(again.outcome(), ("unknown", "upstream-lost"));
    assert!(upstream.try_next().is_none(), "the order was sent twice");
}

/// Guards against an order that can never run because a first attempt, which was not run, left its
/// claim in place.
#[actix_rt::test]
async fn released_order() {
    let mut upstream = Upstream::start().await;
    let mut cluster = Cluster::start(1, upstream.address).await;
    start_table(&mut cluster.daemons[0]);
    let entry = cluster.entry().caller;
    let mut first = open_request(entry, "POST /files/k1", ORDER_HEADERS).await;
    let refusal = "HTTP/1.1 503 Busy\r\nbalsam-not-run: shed\r\ncontent-length: 0\r\n\r\n";
    // A request is sent to upstreams at most 4 times (`SENT_ATTEMPTS_MAX`).
    for _ in 0..4 {
        upstream.next().await.answer(refusal).await;
    }
    let answer = read_answer(&mut first).await;
    assert_eq!(answer.outcome(), ("not-run", "shed"));
    sleep(Duration::from_millis(200)).await;
    let mut second = open_request(entry, "POST /files/k1", ORDER_HEADERS).await;
    upstream.next().await.ok("receipt").await;
    assert_eq!(read_answer(&mut second).await.body, b"receipt");
}

/// Guards against an order that is cancelled, or whose response is not recorded, when its caller
/// disconnects.
#[actix_rt::test]
async fn caller_left() {
    let mut upstream = Upstream::start().await;
    let mut cluster = Cluster::start(1, upstream.address).await;
    start_table(&mut cluster.daemons[0]);
    let entry = cluster.entry().caller;
    let first = open_request(entry, "POST /files/k1", ORDER_HEADERS).await;
    let request = upstream.next().await;
    drop(first);
    sleep(Duration::from_millis(100)).await;
    request.ok("receipt").await;
    sleep(Duration::from_millis(200)).await;
    let again = call(entry, "POST /files/k1", ORDER_HEADERS).await;
    assert_eq!((again.status, again.body), (200, b"receipt".to_vec()));
}

/// Guards against an order that runs without a claim while the table does not respond.
#[actix_rt::test]
async fn table_down() {
    let mut upstream = Upstream::start().await;
    let mut cluster = Cluster::start(1, upstream.address).await;
    drop(cluster.daemons[0].table.take());
    let fields = format!("{ORDER_HEADERS}balsam-deadline-ms: 300\r\n");
    let answer = call(cluster.entry().caller, "POST /files/k1", &fields).await;
    assert_eq!(answer.outcome(), ("not-run", "claim-unavailable"));
    assert!(upstream.try_next().is_none(), "an unclaimed order was sent");
}
