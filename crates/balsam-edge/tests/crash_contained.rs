//! Daemons must stop a request that crashes upstreams, together and within the limits of the
//! platform.

mod support;

use balsam_edge::Edge;
use std::time::Duration;
use support::{Behavior, Caller, Store, Upstream, rows, start_at, wait_ready};
use tokio::time::sleep;

/// Time for the leader election and for the heartbeats of the leader to reach the other daemons.
const ELECTION_TIME: Duration = Duration::from_millis(2_800);

/// Time in which connected daemons notify each other of a crash.
const PROPAGATION_TIME: Duration = Duration::from_millis(300);

/// Arrivals of one request that the platform allows: three crashes and three retries after them.
const ARRIVALS_MAX: usize = 6;

/// Fails if each daemon counts crashes by itself, so that each lets the request crash as many
/// upstreams as are allowed in total.
#[actix_rt::test]
async fn over_all_daemons() {
    let mut upstreams = start_crashing(12).await;
    let upstream_refs: Vec<&Upstream> = upstreams.iter().collect();
    let store = Store::start(rows(&upstream_refs));
    let leader = start_at(&store, 1).await;
    wait_ready(&leader).await;
    let (second, third) = (start_at(&store, 2).await, start_at(&store, 3).await);
    wait_ready(&second).await;
    wait_ready(&third).await;
    sleep(ELECTION_TIME).await;
    for round in 0..4 {
        for (daemon, edge) in [&second, &third, &leader].into_iter().enumerate() {
            let mut caller = Caller::open(edge.addresses().callers).await;
            let id = format!("r{round}-{daemon}");
            caller.request("GET", "/read/poison", &id).await;
            let (status, head, _) = caller.response().await;
            if round == 3 {
                assert_eq!(
                    status, 503,
                    "the request must not be sent to an upstream any more"
                );
                assert!(head.fields.get("retry-after").is_some());
            }
            sleep(PROPAGATION_TIME).await;
        }
    }
    let arrivals = arrivals(&mut upstreams);
    assert!(arrivals <= ARRIVALS_MAX, "{arrivals} arrivals");
}

/// Starts upstreams that crash at their first request.
async fn start_crashing(count: usize) -> Vec<Upstream> {
    let mut upstreams = Vec::new();
    for number in 0..count {
        upstreams.push(Upstream::start(&format!("u{number}"), &[Behavior::Crash]).await);
    }
    upstreams
}

/// Sends the request to each of the daemons, `rounds` times.
async fn send_to(edges: &[&Edge], rounds: usize) {
    for round in 0..rounds {
        for (daemon, edge) in edges.iter().enumerate() {
            let mut caller = Caller::open(edge.addresses().callers).await;
            let id = format!("r{round}-{daemon}");
            caller.request("GET", "/read/poison", &id).await;
            caller.response().await;
            sleep(PROPAGATION_TIME).await;
        }
    }
}

fn arrivals(upstreams: &mut [Upstream]) -> usize {
    upstreams
        .iter_mut()
        .map(|upstream| upstream.events().len())
        .sum()
}

/// Fails if a daemon does not learn of earlier crashes, because it started later or because the
/// reports were lost.
#[actix_rt::test]
async fn later_daemon() {
    let mut upstreams = start_crashing(12).await;
    let upstream_refs: Vec<&Upstream> = upstreams.iter().collect();
    let store = Store::start(rows(&upstream_refs));
    let leader = start_at(&store, 1).await;
    wait_ready(&leader).await;
    sleep(ELECTION_TIME).await;
    send_to(&[&leader], 4).await;
    arrivals(&mut upstreams);
    let late_daemon = start_at(&store, 2).await;
    wait_ready(&late_daemon).await;
    sleep(ELECTION_TIME).await;
    send_to(&[&late_daemon], 1).await;
    assert_eq!(arrivals(&mut upstreams), 0);
}

/// Fails if a refused request is forgotten when all daemons that refused it have stopped.
#[actix_rt::test]
async fn all_restarted() {
    let mut upstreams = start_crashing(12).await;
    let upstream_refs: Vec<&Upstream> = upstreams.iter().collect();
    let store = Store::start(rows(&upstream_refs));
    let first = start_at(&store, 1).await;
    wait_ready(&first).await;
    sleep(ELECTION_TIME).await;
    send_to(&[&first], 4).await;
    first.stop().await;
    arrivals(&mut upstreams);
    let second = start_at(&store, 2).await;
    wait_ready(&second).await;
    sleep(ELECTION_TIME).await;
    send_to(&[&second], 1).await;
    assert_eq!(arrivals(&mut upstreams), 0);
}

/// Other requests must be served while one is refused.
#[actix_rt::test]
async fn others_served() {
    let behaviors = [Behavior::Close, Behavior::Respond];
    let first = Upstream::start("u1", &behaviors).await;
    let second = Upstream::start("u2", &behaviors).await;
    let edge = support::start(Some(&[&first, &second])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", "/read/poison", "r1").await;
    caller.response().await;
    for id in ["r2", "r3"] {
        let mut caller = Caller::open(edge.addresses().callers).await;
        caller.request("GET", "/read/other", id).await;
        assert_eq!(caller.response().await.0, 200);
    }
}
