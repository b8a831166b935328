//! What callers get from a daemon that cannot show that its tables are young enough.

mod support;

use balsam_edge::Edge;
use std::time::Duration;
use support::{Access, Behavior, Caller, Store, Upstream, rows, start_at, wait_ready};
use tokio::time::{Instant, sleep};

/// Time after which the tables of a daemon are too old, and some more.
const OUTDATED_AFTER: Duration = Duration::from_millis(2_500);

/// How long the store delays its responses.
const STALL: Duration = Duration::from_secs(4);

/// Time for the store's responses to arrive again.
const RECOVERED_WITHIN: Duration = Duration::from_secs(10);

const DAEMON: usize = 1;

async fn status(edge: &Edge, path: &str) -> u16 {
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", path, "r1").await;
    caller.response().await.0
}

/// Guards against requests that are sent by old tables while nothing shows whether they are current:
/// the store neither responds nor refuses. Callers learn soon that the request has not run.
#[actix_rt::test]
async fn stalled_store() {
    let upstream = Upstream::start("u1", &[Behavior::Respond]).await;
    let store = Store::start(rows(&[&upstream]));
    let daemon = start_at(&store, DAEMON).await;
    wait_ready(&daemon).await;
    assert_eq!(status(&daemon, "/read/x").await, 200);
    store.delay_upstreams(DAEMON, STALL);
    sleep(OUTDATED_AFTER).await;
    let asked_at = Instant::now();
    assert_eq!(status(&daemon, "/read/x").await, 503);
    assert!(asked_at.elapsed() < STALL, "{:?}", asked_at.elapsed());
    store.delay_upstreams(DAEMON, Duration::ZERO);
    let end = Instant::now() + RECOVERED_WITHIN;
    while status(&daemon, "/read/x").await != 200 {
        assert!(Instant::now() < end, "still not served");
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards that a daemon goes on serving while the store refuses its calls.
#[actix_rt::test]
async fn refusing_store() {
    let upstream = Upstream::start("u1", &[Behavior::Respond]).await;
    let store = Store::start(rows(&[&upstream]));
    let daemon = start_at(&store, DAEMON).await;
    wait_ready(&daemon).await;
    store.set_access(DAEMON, Access::Refused);
    let end = Instant::now() + 2 * OUTDATED_AFTER;
    while Instant::now() < end {
        assert_eq!(status(&daemon, "/read/x").await, 200);
        sleep(Duration::from_millis(100)).await;
    }
}
