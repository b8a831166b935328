//! Messages of the leader to so many daemons that some of them pass them on to the others.

mod support;

use balsam_edge::store::StoreChange;
use std::time::Duration;
use support::{
    Behavior, Caller, Store, Upstream, config, entry, rows, start_at, upstream_row, wait_ready,
};
use tokio::time::sleep;

/// Number of daemons, more than a leader sends messages to by itself.
const DAEMONS: usize = 30;

/// Maximum time that the specification allows until a daemon knows that an upstream leaves, or
/// that the configuration has a new version.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

/// Time for all daemons to greet the leader.
const GREETING_TIME: Duration = Duration::from_secs(2);

/// Every daemon must learn of a new upstream and of a new configuration without calls to the store.
#[actix_rt::test]
async fn changes_reach_all() {
    let upstream = Upstream::start("u1", &[Behavior::Respond]).await;
    let store = Store::start(rows(&[]));
    let mut daemons = vec![start_at(&store, 0).await];
    wait_ready(&daemons[0]).await;
    sleep(Duration::from_secs(1)).await;
    for index in 1..DAEMONS {
        daemons.push(start_at(&store, index).await);
    }
    for daemon in &daemons {
        wait_ready(daemon).await;
    }
    sleep(GREETING_TIME).await;
    let mut before = Vec::new();
    for index in 1..DAEMONS {
        before.push(store.calls(index).await);
    }
    store.put(upstream_row(entry(&upstream)));
    store.put(StoreChange::Config(config(2)));
    sleep(PROPAGATION_LIMIT).await;
    let mut callers = Vec::new();
    for daemon in &daemons {
        let mut caller = Caller::open(daemon.addresses().callers).await;
        caller.request("GET", "/v2/x", "r1").await;
        callers.push(caller);
    }
    for (index, mut caller) in callers.into_iter().enumerate() {
        let status = caller.response().await.0;
        // The upstream serves one connection at a time, so that most requests time out there. A
        // daemon that knows no such route answers 404, and one that knows no upstream 503.
        assert!([200, 504].contains(&status), "daemon {index}: {status}");
    }
    let mut after = Vec::new();
    for index in 1..DAEMONS {
        after.push(store.calls(index).await);
    }
    assert_eq!(before, after);
}
