//! Guards that an answer of the store that arrives late brings back no earlier state of an upstream.

mod support;

use balsam_edge::Edge;
use balsam_edge::store::StoreChange;
use balsam_types::{UpstreamEntry, UpstreamState};
use std::time::Duration;
use support::{Act, Caller, Store, Upstream, entry, rows, start_at, wait_ready, written};
use tokio::time::sleep;

/// How late answers about upstreams arrive.
const LATE: Duration = Duration::from_millis(2_500);

/// Time for the election of the leader and for its heartbeats to reach the others.
const SETTLE: Duration = Duration::from_millis(2_800);

/// How late the leader's answers arrive, so that the others do not rely on it.
const OLD: Duration = Duration::from_millis(1_200);

/// Time in which the leader passes a change on.
const PASSED_ON: Duration = Duration::from_millis(600);

const LEADER: usize = 1;
const OTHER: usize = 2;

fn with_state(upstream: &Upstream, state: UpstreamState) -> StoreChange {
    written(UpstreamEntry {
        state,
        ..entry(upstream)
    })
}

async fn start_leader(store: &Store) -> Edge {
    let leader = start_at(store, LEADER).await;
    wait_ready(&leader).await;
    sleep(SETTLE).await;
    leader
}

/// Returns whether a daemon sends requests to the only upstream.
async fn is_used(edge: &Edge) -> bool {
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", "/read/x", "r1").await;
    caller.answer().await.0 == 200
}

/// Guards against a list that was made before the leader's snapshot and arrives after it.
#[actix_rt::test]
async fn list_behind_snapshot() {
    let leaving = Upstream::start("u1", &[Act::Answer]).await;
    let store = Store::start(rows(&[&leaving]));
    let _leader = start_leader(&store).await;
    store.delay_upstreams(OTHER, LATE);
    let other = start_at(&store, OTHER).await;
    sleep(PASSED_ON / 3).await;
    store.put(with_state(&leaving, UpstreamState::Draining));
    wait_ready(&other).await;
    assert!(!is_used(&other).await, "the snapshot tells that it leaves");
    sleep(LATE).await;
    assert!(!is_used(&other).await, "the list is older than that");
}

/// Guards against changes that a daemon read itself and that arrive after newer ones of the leader.
#[actix_rt::test]
async fn changes_behind_news() {
    let leaving = Upstream::start("u1", &[Act::Answer]).await;
    let store = Store::start(rows(&[&leaving]));
    let _leader = start_leader(&store).await;
    let other = start_at(&store, OTHER).await;
    wait_ready(&other).await;
    sleep(SETTLE).await;
    // The other daemon follows the store itself while the leader's knowledge is old.
    store.delay_upstreams(LEADER, OLD);
    sleep(OLD * 2).await;
    store.delay_upstreams(OTHER, LATE);
    store.put(written(UpstreamEntry {
        slots: 5,
        ..entry(&leaving)
    }));
    store.delay_upstreams(LEADER, Duration::ZERO);
    store.put(with_state(&leaving, UpstreamState::Draining));
    sleep(OLD + PASSED_ON).await;
    assert!(!is_used(&other).await, "the leader tells that it leaves");
    sleep(LATE).await;
    assert!(!is_used(&other).await, "the change is older than that");
}
