//! Guards how daemons learn of changes in the store: from the leader, or from the store if the
//! leader cannot tell them.

mod support;

use balsam_edge::Edge;
use balsam_edge::store::StoreChange;
use balsam_types::{ServiceName, UpstreamName};
use std::time::Duration;
use support::{
    Access, Act, Caller, Store, Upstream, config, entry, rows, start_at, wait_ready, written,
};
use tokio::time::{Instant, sleep};

/// The stated time within which a leaving upstream or a version must be known.
const KNOWN_WITHIN: Duration = Duration::from_secs(2);

/// Time for the election of the leader and for its heartbeats to reach the others.
const SETTLE: Duration = Duration::from_millis(2_800);

/// Upstreams of a service that is divided by key; their assignments exceed a datagram.
const KEYED_UPSTREAMS: usize = 60;

/// Changes of upstreams that the leader passes on in one datagram, and the time in which it gathers
/// them.
const PUSHED_MAX: usize = 30;
const GATHERED: Duration = Duration::from_millis(600);

/// Time for the first assignment of keys, and for daemons that lack it to ask for it.
const ASSIGNED_WITHIN: Duration = Duration::from_secs(3);

const LEADER: usize = 1;
const OTHER: usize = 2;

/// Starts two daemons of which the first is the leader.
async fn start_two(store: &Store) -> (Edge, Edge) {
    let leader = start_at(store, LEADER).await;
    wait_ready(&leader).await;
    sleep(Duration::from_secs(1)).await;
    let other = start_at(store, OTHER).await;
    wait_ready(&other).await;
    sleep(SETTLE).await;
    (leader, other)
}

async fn status(edge: &Edge, path: &str) -> u16 {
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", path, "r1").await;
    caller.answer().await.0
}

/// Waits until a daemon answers a path with a status; fails if that takes too long.
async fn wait_status(edge: &Edge, path: &str, wanted: u16) {
    let end = Instant::now() + KNOWN_WITHIN;
    loop {
        let found = status(edge, path).await;
        if found == wanted {
            return;
        }
        assert!(Instant::now() < end, "{path} still ends {found}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards that a daemon that hears the leader makes no calls, and still learns of changes.
#[actix_rt::test]
async fn leader_tells() {
    let first = Upstream::start("u1", &[Act::Answer]).await;
    let store = Store::start(rows(&[]));
    let (_leader, other) = start_two(&store).await;
    let before = store.calls(OTHER).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(store.calls(OTHER).await, before);
    assert_eq!(status(&other, "/read/x").await, 503);
    store.put(written(entry(&first)));
    wait_status(&other, "/read/x", 200).await;
    assert_eq!(store.calls(OTHER).await, before);
    store.put(StoreChange::Config(config(2)));
    wait_status(&other, "/v2/x", 200).await;
    assert_eq!(store.calls(OTHER).await, before);
}

/// Guards that assignments too many for one datagram reach the others without calls to the store:
/// as one cut datagram they were dropped, and all daemons read the row at once.
#[actix_rt::test]
async fn many_assignments() {
    let first = Upstream::start("u1", &[Act::Answer]).await;
    let store = Store::start(rows(&[]));
    let (_leader, other) = start_two(&store).await;
    let before = store.calls(OTHER).await;
    for number in 0..KEYED_UPSTREAMS {
        let mut keyed = entry(&first);
        keyed.name = UpstreamName::new(format!("keyed-{number}")).expect("a valid name");
        keyed.service = ServiceName::new("keys").expect("a valid name");
        store.put(written(keyed));
        if number % PUSHED_MAX == PUSHED_MAX - 1 {
            sleep(GATHERED).await;
        }
    }
    store.put(written(entry(&first)));
    wait_status(&other, "/read/x", 200).await;
    sleep(ASSIGNED_WITHIN).await;
    assert!(store.has_own("ranges/keys").await, "keys are assigned");
    assert_eq!(store.calls(OTHER).await, before);
}

/// Guards that a daemon that the store turns away gets upstreams and versions from the leader.
#[actix_rt::test]
async fn turned_away() {
    let first = Upstream::start("u1", &[Act::Answer]).await;
    let store = Store::start(rows(&[]));
    let (_leader, other) = start_two(&store).await;
    store.set_access(OTHER, Access::Refused);
    store.put(written(entry(&first)));
    wait_status(&other, "/read/x", 200).await;
    store.put(StoreChange::Config(config(2)));
    wait_status(&other, "/v2/x", 200).await;
}

/// Guards that the others follow the store themselves as soon as it turns the leader away, and that
/// one of them takes its place.
#[actix_rt::test]
async fn leader_turned_away() {
    let first = Upstream::start("u1", &[Act::Answer]).await;
    let store = Store::start(rows(&[]));
    let (leader, other) = start_two(&store).await;
    store.set_access(LEADER, Access::Refused);
    store.put(written(entry(&first)));
    wait_status(&other, "/read/x", 200).await;
    // The other daemon takes the lead after 3 s and tells the former leader.
    sleep(Duration::from_secs(4)).await;
    wait_status(&leader, "/read/x", 200).await;
    store.put(StoreChange::Config(config(2)));
    wait_status(&leader, "/v2/x", 200).await;
}

/// Guards that changes are known although the leader has ended without a word.
#[actix_rt::test]
async fn leader_lost() {
    let first = Upstream::start("u1", &[Act::Answer]).await;
    let store = Store::start(rows(&[]));
    let (leader, other) = start_two(&store).await;
    store.set_access(LEADER, Access::Refused);
    leader.stop().await;
    store.put(written(entry(&first)));
    wait_status(&other, "/read/x", 200).await;
}

/// Guards that an upstream that leaves without notice is dropped at once by a daemon that the store
/// answers, although it does not answer the leader: that is no outage in which entries only lapse.
#[actix_rt::test]
async fn removed_at_once() {
    let first = Upstream::start("u1", &[Act::Answer]).await;
    let store = Store::start(rows(&[&first]));
    let (_leader, other) = start_two(&store).await;
    wait_status(&other, "/read/x", 200).await;
    store.set_access(LEADER, Access::Refused);
    sleep(Duration::from_millis(1_500)).await;
    let removed = entry(&first).name;
    store.put(StoreChange::UpstreamRemoved {
        version: 0,
        name: removed,
    });
    wait_status(&other, "/read/x", 503).await;
}
