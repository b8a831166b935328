//! Guards that daemons together stop a request that crashes upstreams.

mod support;

use balsam_edge::Edge;
use std::time::Duration;
use support::{Act, Caller, Store, Upstream, rows, start_at, wait_ready};
use tokio::time::sleep;

/// Time for the election of the leader and for its heartbeats to reach the others.
const SETTLE: Duration = Duration::from_millis(2_800);

/// Time in which daemons that are in touch tell each other of a crash.
const TOLD: Duration = Duration::from_millis(300);

/// Arrivals that the platform allows: three crashes and three repeats after them.
const ARRIVALS_MAX: usize = 6;

/// Guards against daemons that each count for themselves, so that each lets a request crash its
/// own share of upstreams.
#[actix_rt::test]
async fn over_all_daemons() {
    let mut upstreams = start_fragile(12).await;
    let named: Vec<&Upstream> = upstreams.iter().collect();
    let store = Store::start(rows(&named));
    let leader = start_at(&store, 1).await;
    wait_ready(&leader).await;
    let (second, third) = (start_at(&store, 2).await, start_at(&store, 3).await);
    wait_ready(&second).await;
    wait_ready(&third).await;
    sleep(SETTLE).await;
    for round in 0..4 {
        for (daemon, edge) in [&second, &third, &leader].into_iter().enumerate() {
            let mut caller = Caller::open(edge.addresses().callers).await;
            let id = format!("r{round}-{daemon}");
            caller.request("GET", "/read/poison", &id).await;
            let (status, head, _) = caller.answer().await;
            if round == 3 {
                assert_eq!(status, 503, "it was not sent any more");
                assert!(head.fields.get("retry-after").is_some());
            }
            sleep(TOLD).await;
        }
    }
    let arrivals = arrivals(&mut upstreams);
    assert!(arrivals <= ARRIVALS_MAX, "{arrivals} arrivals");
}

/// Starts upstreams that do not survive a request.
async fn start_fragile(count: usize) -> Vec<Upstream> {
    let mut upstreams = Vec::new();
    for number in 0..count {
        upstreams.push(Upstream::start(&format!("u{number}"), &[Act::Crash]).await);
    }
    upstreams
}

/// Sends the request to daemons, several times to each.
async fn send_to(edges: &[&Edge], rounds: usize) {
    for round in 0..rounds {
        for (daemon, edge) in edges.iter().enumerate() {
            let mut caller = Caller::open(edge.addresses().callers).await;
            let id = format!("r{round}-{daemon}");
            caller.request("GET", "/read/poison", &id).await;
            caller.answer().await;
            sleep(TOLD).await;
        }
    }
}

fn arrivals(upstreams: &mut [Upstream]) -> usize {
    upstreams
        .iter_mut()
        .map(|upstream| upstream.seen().len())
        .sum()
}

/// Guards against a daemon that has not heard of the crashes, because it started later or because
/// the news was lost.
#[actix_rt::test]
async fn later_daemon() {
    let mut upstreams = start_fragile(12).await;
    let named: Vec<&Upstream> = upstreams.iter().collect();
    let store = Store::start(rows(&named));
    let leader = start_at(&store, 1).await;
    wait_ready(&leader).await;
    sleep(SETTLE).await;
    send_to(&[&leader], 4).await;
    arrivals(&mut upstreams);
    let later = start_at(&store, 2).await;
    wait_ready(&later).await;
    sleep(SETTLE).await;
    send_to(&[&later], 1).await;
    assert_eq!(arrivals(&mut upstreams), 0);
}

/// Guards against forgetting a request with the daemons that refused it.
#[actix_rt::test]
async fn all_restarted() {
    let mut upstreams = start_fragile(12).await;
    let named: Vec<&Upstream> = upstreams.iter().collect();
    let store = Store::start(rows(&named));
    let first = start_at(&store, 1).await;
    wait_ready(&first).await;
    sleep(SETTLE).await;
    send_to(&[&first], 4).await;
    first.stop().await;
    arrivals(&mut upstreams);
    let second = start_at(&store, 2).await;
    wait_ready(&second).await;
    sleep(SETTLE).await;
    send_to(&[&second], 1).await;
    assert_eq!(arrivals(&mut upstreams), 0);
}

/// Guards that other requests go on while one is refused.
#[actix_rt::test]
async fn others_served() {
    let acts = [Act::Close, Act::Answer];
    let first = Upstream::start("u1", &acts).await;
    let second = Upstream::start("u2", &acts).await;
    let edge = support::start(Some(&[&first, &second])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", "/read/poison", "r1").await;
    caller.answer().await;
    for id in ["r2", "r3"] {
        let mut caller = Caller::open(edge.addresses().callers).await;
        caller.request("GET", "/read/other", id).await;
        assert_eq!(caller.answer().await.0, 200);
    }
}
