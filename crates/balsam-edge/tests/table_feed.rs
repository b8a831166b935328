//! How daemons learn of changes in the store: from the leader, or from the store itself if the
//! leader cannot forward them.

mod support;

use balsam_edge::Edge;
use balsam_edge::store::StoreChange;
use balsam_types::{ServiceName, UpstreamName};
use std::time::Duration;
use support::{
    Access, Behavior, Caller, Store, Upstream, config, entry, rows, start_at, upstream_row,
    wait_ready,
};
use tokio::time::{Instant, sleep};

/// Maximum time that the specification allows until a daemon knows that an upstream leaves, or
/// that the configuration has a new version.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

/// Time for the leader election and for the heartbeats of the leader to reach the other daemons.
const ELECTION_TIME: Duration = Duration::from_millis(2_800);

/// Number of upstreams of a keyed service. Their assignments exceed a datagram.
const KEYED_UPSTREAMS: usize = 60;

/// Number of changes of upstreams that are written at once, few enough for one datagram of the
/// leader.
const PUSHED_PER_BATCH: usize = 30;

/// Time in which the leader collects the changes of one batch.
const BATCH_WAIT: Duration = Duration::from_millis(600);

/// Time for the first assignment of keys, and for daemons that lack it to request it.
const ASSIGNED_WITHIN: Duration = Duration::from_secs(3);

const LEADER: usize = 1;
const FOLLOWER: usize = 2;

/// Starts two daemons, of which the first is the leader.
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

/// A daemon that receives the leader's messages must make no calls to the store, and still learn of
/// changes.
#[actix_rt::test]
async fn leader_tells() {
    let first = Upstream::start("u1", &[Behavior::Respond]).await;
    let store = Store::start(rows(&[]));
    let (_leader, follower) = start_two(&store).await;
    let before = store.calls(FOLLOWER).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(store.calls(FOLLOWER).await, before);
    assert_eq!(status(&follower, "/read/x").await, 503);
    store.put(upstream_row(entry(&first)));
    wait_status(&follower, "/read/x", 200).await;
    assert_eq!(store.calls(FOLLOWER).await, before);
    store.put(StoreChange::Config(config(2)));
    wait_status(&follower, "/v2/x", 200).await;
    assert_eq!(store.calls(FOLLOWER).await, before);
}

/// Assignments that exceed one datagram must reach the other daemons without calls to the store.
/// When they were sent as one truncated datagram, the receivers dropped it, and all daemons read
/// the row from the store at the same time.
#[actix_rt::test]
async fn many_assignments() {
    let first = Upstream::start("u1", &[Behavior::Respond]).await;
    let store = Store::start(rows(&[]));
    let (_leader, follower) = start_two(&store).await;
    let before = store.calls(FOLLOWER).await;
    for number in 0..KEYED_UPSTREAMS {
        let mut keyed = entry(&first);
        keyed.name = UpstreamName::new(format!("keyed-{number}")).expect("a valid name");
        keyed.service = ServiceName::new("keys").expect("a valid name");
        store.put(upstream_row(keyed));
        if number % PUSHED_PER_BATCH == PUSHED_PER_BATCH - 1 {
            sleep(BATCH_WAIT).await;
        }
    }
    store.put(upstream_row(entry(&first)));
    wait_status(&follower, "/read/x", 200).await;
    sleep(ASSIGNED_WITHIN).await;
    assert!(
        store.has_cluster_row("ranges/keys").await,
        "keys must be assigned"
    );
    assert_eq!(store.calls(FOLLOWER).await, before);
}

/// Changes of upstreams that exceed one datagram must reach the other daemons without calls to the
/// store. When hundreds of upstreams register in a few seconds, all daemons would otherwise read the
/// same changes at the same time.
#[actix_rt::test]
async fn many_upstreams() {
    let first = Upstream::start("u1", &[Behavior::Respond]).await;
    let store = Store::start(rows(&[]));
    let (_leader, follower) = start_two(&store).await;
    let before = store.calls(FOLLOWER).await;
    for number in 0..3 * PUSHED_PER_BATCH {
        let mut other = entry(&first);
        other.name = UpstreamName::new(format!("other-{number}")).expect("a valid name");
        other.service = ServiceName::new("others").expect("a valid name");
        store.put(upstream_row(other));
    }
    store.put(upstream_row(entry(&first)));
    wait_status(&follower, "/read/x", 200).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(store.calls(FOLLOWER).await, before);
}

/// A daemon that starts beside a leader must get the tables and the assignments from it. Its only
/// call to the store looks up the leader.
#[actix_rt::test]
async fn started_later() {
    let first = Upstream::start("u1", &[Behavior::Respond]).await;
    let mut keyed = entry(&first);
    keyed.name = UpstreamName::new("keyed").expect("a valid name");
    keyed.service = ServiceName::new("keys").expect("a valid name");
    let store = Store::start(rows(&[&first]));
    store.put(upstream_row(keyed));
    let (_leader, follower) = start_two(&store).await;
    wait_status(&follower, "/read/x", 200).await;
    assert_eq!(store.calls(FOLLOWER).await, 1);
}

/// A daemon whose calls the store refuses must get upstreams and configurations from the leader.
#[actix_rt::test]
async fn turned_away() {
    let first = Upstream::start("u1", &[Behavior::Respond]).await;
    let store = Store::start(rows(&[]));
    let (_leader, follower) = start_two(&store).await;
    store.set_access(FOLLOWER, Access::Refused);
    store.put(upstream_row(entry(&first)));
    wait_status(&follower, "/read/x", 200).await;
    store.put(StoreChange::Config(config(2)));
    wait_status(&follower, "/v2/x", 200).await;
}

/// As soon as the store refuses the leader's calls, the other daemons must read the store
/// themselves, and one of them must become the leader.
#[actix_rt::test]
async fn leader_turned_away() {
    let first = Upstream::start("u1", &[Behavior::Respond]).await;
    let store = Store::start(rows(&[]));
    let (leader, follower) = start_two(&store).await;
    store.set_access(LEADER, Access::Refused);
    store.put(upstream_row(entry(&first)));
    wait_status(&follower, "/read/x", 200).await;
    // The follower becomes the leader after 3 s and notifies the former leader.
    sleep(Duration::from_secs(4)).await;
    wait_status(&leader, "/read/x", 200).await;
    store.put(StoreChange::Config(config(2)));
    wait_status(&leader, "/v2/x", 200).await;
}

/// The other daemon must still learn of changes if the store refuses the leader's calls and the
/// leader then stops.
#[actix_rt::test]
async fn leader_lost() {
    let first = Upstream::start("u1", &[Behavior::Respond]).await;
    let store = Store::start(rows(&[]));
    let (leader, follower) = start_two(&store).await;
    store.set_access(LEADER, Access::Refused);
    leader.stop().await;
    store.put(upstream_row(entry(&first)));
    wait_status(&follower, "/read/x", 200).await;
}

/// An upstream that is removed without notice must be dropped at once by a daemon to which the
/// store responds, even if the store refuses the leader's calls. A daemon keeps entries that may
/// have expired only after its own calls to the store have failed.
#[actix_rt::test]
async fn removed_at_once() {
    let first = Upstream::start("u1", &[Behavior::Respond]).await;
    let store = Store::start(rows(&[&first]));
    let (_leader, follower) = start_two(&store).await;
    wait_status(&follower, "/read/x", 200).await;
    store.set_access(LEADER, Access::Refused);
    sleep(Duration::from_millis(1_500)).await;
    let removed = entry(&first).name;
    store.put(StoreChange::UpstreamRemoved {
        version: 0,
        name: removed,
    });
    wait_status(&follower, "/read/x", 503).await;
}
