//! A response of the store that arrives late must not restore an earlier state of an upstream.

mod support;

use balsam_edge::Edge;
use balsam_edge::store::StoreChange;
use balsam_types::{UpstreamEntry, UpstreamState};
use std::time::Duration;
use support::{Behavior, Caller, Store, Upstream, entry, rows, start_at, upstream_row, wait_ready};
use tokio::time::sleep;

/// Delay of the store's responses about upstreams to the follower.
const RESPONSE_DELAY: Duration = Duration::from_millis(2_500);

/// Time for the leader election and for the heartbeats of the leader to reach the other daemons.
const ELECTION_TIME: Duration = Duration::from_millis(2_800);

/// Delay of the store's responses to the leader. It is long enough that the other daemons do not
/// rely on the leader's data.
const LEADER_DELAY: Duration = Duration::from_millis(1_200);

/// Delay of the store's list of upstreams to a daemon that starts, longer than the leader needs to
/// catch up.
const LIST_DELAY: Duration = Duration::from_secs(5);

/// Time after which a daemon that starts reads the list from the store.
const FIRST_READ_TIME: Duration = Duration::from_millis(700);

/// Time in which the leader forwards a change.
const PROPAGATION_TIME: Duration = Duration::from_millis(600);

const LEADER: usize = 1;
const FOLLOWER: usize = 2;

fn with_state(upstream: &Upstream, state: UpstreamState) -> StoreChange {
    upstream_row(UpstreamEntry {
        state,
        ..entry(upstream)
    })
}

async fn start_leader(store: &Store) -> Edge {
    let leader = start_at(store, LEADER).await;
    wait_ready(&leader).await;
    sleep(ELECTION_TIME).await;
    leader
}

/// Returns whether a daemon sends requests to the only upstream.
async fn is_used(edge: &Edge) -> bool {
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", "/read/x", "r1").await;
    caller.response().await.0 == 200
}

/// Fails if a full list of upstreams that is older than the leader's snapshot, but arrives after
/// it, replaces the snapshot.
///
/// A daemon reads the list only if it starts while the leader's data is old.
#[actix_rt::test]
async fn list_behind_snapshot() {
    let leaving = Upstream::start("u1", &[Behavior::Respond]).await;
    let store = Store::start(rows(&[&leaving]));
    let _leader = start_leader(&store).await;
    store.delay_upstreams(LEADER, LEADER_DELAY);
    sleep(LEADER_DELAY * 2).await;
    store.delay_upstreams(FOLLOWER, LIST_DELAY);
    let follower = start_at(&store, FOLLOWER).await;
    sleep(FIRST_READ_TIME).await;
    assert!(
        store.calls(FOLLOWER).await > 1,
        "the list must be on its way"
    );
    store.delay_upstreams(LEADER, Duration::ZERO);
    store.put(with_state(&leaving, UpstreamState::Draining));
    wait_ready(&follower).await;
    sleep(PROPAGATION_TIME).await;
    assert!(
        !is_used(&follower).await,
        "the snapshot says that the upstream is draining"
    );
    sleep(LIST_DELAY).await;
    assert!(
        !is_used(&follower).await,
        "the list from the store is older than the snapshot"
    );
}

/// Fails if changes that a daemon read from the store itself replace newer ones from the leader
/// that arrived earlier.
#[actix_rt::test]
async fn changes_behind_news() {
    let leaving = Upstream::start("u1", &[Behavior::Respond]).await;
    let store = Store::start(rows(&[&leaving]));
    let _leader = start_leader(&store).await;
    let follower = start_at(&store, FOLLOWER).await;
    wait_ready(&follower).await;
    sleep(ELECTION_TIME).await;
    // The follower reads the store itself while the leader's data is old.
    store.delay_upstreams(LEADER, LEADER_DELAY);
    sleep(LEADER_DELAY * 2).await;
    store.delay_upstreams(FOLLOWER, RESPONSE_DELAY);
    store.put(upstream_row(UpstreamEntry {
        slots: 5,
        ..entry(&leaving)
    }));
    store.delay_upstreams(LEADER, Duration::ZERO);
    store.put(with_state(&leaving, UpstreamState::Draining));
    sleep(LEADER_DELAY + PROPAGATION_TIME).await;
    assert!(
        !is_used(&follower).await,
        "the leader has forwarded that the upstream is draining"
    );
    sleep(RESPONSE_DELAY).await;
    assert!(
        !is_used(&follower).await,
        "the delayed change is older than the one from the leader"
    );
}
