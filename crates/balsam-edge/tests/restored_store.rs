//! How daemons go on when the store goes back to an earlier copy.

mod support;

use balsam_edge::Edge;
use balsam_edge::store::StoreChange;
use balsam_types::{ServiceName, UpstreamName};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use support::{
    Access, Behavior, Caller, Store, Upstream, config, entry, rows, start_at, upstream_row,
    wait_ready,
};
use tokio::time::{Instant, sleep};

/// Maximum time that the specification allows until a daemon acts by a change.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

/// Time for the leader election and for the heartbeats of the leader to reach the other daemons.
const ELECTION_TIME: Duration = Duration::from_millis(2_800);

/// Calls of a follower that are allowed for one restoration: each table once.
const CALLS_MAX: u64 = 2;

const LEADER: usize = 1;
const FOLLOWER: usize = 2;

async fn start_two(store: &Store) -> (Edge, Edge) {
    let leader = start_at(store, LEADER).await;
    wait_ready(&leader).await;
    sleep(Duration::from_secs(1)).await;
    let follower = start_at(store, FOLLOWER).await;
    wait_ready(&follower).await;
    sleep(ELECTION_TIME).await;
    (leader, follower)
}

async fn status(edge: &Edge, path: &str) -> u16 {
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", path, "r1").await;
    caller.response().await.0
}

/// Waits until a daemon responds to a path with a status. Fails if that takes too long.
async fn wait_status(edge: &Edge, path: &str, expected: u16) {
    let end = Instant::now() + PROPAGATION_LIMIT;
    loop {
        let actual = status(edge, path).await;
        if actual == expected {
            return;
        }
        assert!(Instant::now() < end, "{path} still returns {actual}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a configuration that goes back, against upstreams that are dropped before they
/// have written their entries again, and against changes of the new era that are not noticed because
/// their versions are lower than the known ones.
#[actix_rt::test]
async fn tables_kept() {
    let first = Upstream::start("u1", &[Behavior::Respond]).await;
    let store = Store::start(rows(&[]));
    let (_leader, follower) = start_two(&store).await;
    store.copy();
    store.put(upstream_row(entry(&first)));
    for version in 2..10 {
        store.put(StoreChange::Config(config(version)));
    }
    wait_status(&follower, "/v9/x", 200).await;
    let before = store.calls(FOLLOWER).await;
    store.restore();
    let end = Instant::now() + Duration::from_millis(1_500);
    while Instant::now() < end {
        assert_eq!(status(&follower, "/v9/x").await, 200);
        sleep(Duration::from_millis(50)).await;
    }
    store.put(upstream_row(entry(&first)));
    store.put(StoreChange::Config(config(10)));
    wait_status(&follower, "/v10/x", 200).await;
    let calls = store.calls(FOLLOWER).await - before;
    assert!(calls <= CALLS_MAX, "{calls} calls of the follower");
    sleep(PROPAGATION_LIMIT).await;
    assert_eq!(status(&follower, "/v10/x").await, 200);
}

/// Guards against a leader that goes on without being elected again, so that it can never write
/// assignments, and against tables that nobody follows when the leader is cut off meanwhile.
#[actix_rt::test]
async fn leader_cut_off() {
    let first = Upstream::start("u1", &[Behavior::Respond]).await;
    let store = Store::start(rows(&[]));
    let (_leader, follower) = start_two(&store).await;
    store.copy();
    store.put(StoreChange::Config(config(2)));
    wait_status(&follower, "/v2/x", 503).await;
    store.set_access(LEADER, Access::Refused);
    store.restore();
    sleep(ELECTION_TIME).await;
    store.set_access(LEADER, Access::Served);
    store.restore();
    store.put(upstream_row(entry(&first)));
    wait_status(&follower, "/v2/x", 200).await;
}

/// Guards against writes of assignments by a leader whose election the restored store has lost: its
/// row may have the expected version again, but that of its term does not.
#[actix_rt::test]
async fn term_row_checked() {
    let first = Upstream::start("u1", &[Behavior::Respond]).await;
    let store = Store::start(rows(&[&first]));
    let leader = start_at(&store, LEADER).await;
    wait_ready(&leader).await;
    sleep(ELECTION_TIME).await;
    assert!(store.has_cluster_row("lead/0").await, "a row of the term");
    store.put(StoreChange::Cluster {
        key: Arc::from("lead/0"),
        version: 0,
        value: Some(Bytes::from_static(b"{}")),
    });
    let mut keyed = entry(&first);
    keyed.name = UpstreamName::new("keyed").expect("a valid name");
    keyed.service = ServiceName::new("keys").expect("a valid name");
    store.put(upstream_row(keyed));
    sleep(ELECTION_TIME).await;
    assert!(!store.has_cluster_row("ranges/keys").await);
}
