//! Upstreams that announce in their answers that they leave or want a pause.

mod support;

use std::time::Duration;
use support::{Behavior, Caller, Upstream, start};
use tokio::time::{Instant, sleep};

const LEAVING: &str = "Test-Leaving: 1\r\n";

/// The time for which leaving upstreams take requests that no other one can run, by the settings of
/// the daemons under test.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// A margin for a busy machine.
const MARGIN: Duration = Duration::from_millis(300);

/// The time for the pool to learn of an announcement.
const REPORT_TIME: Duration = Duration::from_millis(50);

async fn status(caller: &mut Caller, path: &str, id: &str) -> u16 {
    caller.request("GET", path, id).await;
    caller.response().await.0
}

/// Guards against requests to an upstream that has announced its leaving in an answer, while the
/// store says that it is ready.
#[actix_rt::test]
async fn leaving_gets_nothing() {
    let announcing = [Behavior::Announce(LEAVING)];
    let mut leaving = Upstream::start("u1", &announcing).await;
    let staying = Upstream::start("u2", &[Behavior::Respond]).await;
    let edge = start(Some(&[&leaving, &staying])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    for number in 0..50 {
        assert_eq!(
            status(&mut caller, "/read/x", &format!("a{number}")).await,
            200
        );
        if !leaving.events().is_empty() {
            break;
        }
    }
    sleep(REPORT_TIME).await;
    for number in 0..50 {
        assert_eq!(
            status(&mut caller, "/read/x", &format!("b{number}")).await,
            200
        );
    }
    assert_eq!(leaving.events(), Vec::<String>::new());
}

/// Guards against callers that wait in vain after all upstreams have left, and against an only
/// upstream that gets nothing while it still takes requests.
#[actix_rt::test]
async fn all_leave() {
    let mut leaving = Upstream::start("u1", &[Behavior::Announce(LEAVING)]).await;
    let edge = start(Some(&[&leaving])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    assert_eq!(status(&mut caller, "/read/x", "r1").await, 200);
    sleep(REPORT_TIME).await;
    assert_eq!(status(&mut caller, "/read/x", "r2").await, 200);
    sleep(DRAIN_TIME).await;
    leaving.events();
    let started_at = Instant::now();
    assert_eq!(status(&mut caller, "/read/x", "r3").await, 503);
    assert!(started_at.elapsed() < MARGIN);
    assert_eq!(leaving.events(), Vec::<String>::new());
}

/// Guards against an announcement that is believed although it came in the answer to another
/// request.
#[actix_rt::test]
async fn other_request() {
    let script = [Behavior::AnnounceToAnother(LEAVING), Behavior::Respond];
    let upstream = Upstream::start("u1", &script).await;
    let edge = start(Some(&[&upstream])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    assert_eq!(status(&mut caller, "/read/x", "r1").await, 200);
    sleep(DRAIN_TIME + REPORT_TIME).await;
    assert_eq!(status(&mut caller, "/read/x", "r2").await, 200);
}

/// Guards against requests to an upstream that wants a pause, and against callers that are told to
/// return before it has ended.
#[actix_rt::test]
async fn pause_kept() {
    let script = [
        Behavior::RefuseAnnouncing("Test-Pause-Ms: 1500\r\n"),
        Behavior::Respond,
    ];
    let mut upstream = Upstream::start("u1", &script).await;
    let edge = start(Some(&[&upstream])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    let paused_at = Instant::now();
    assert_eq!(status(&mut caller, "/order/x", "o1").await, 503);
    sleep(REPORT_TIME).await;
    upstream.events();
    for number in 0..10 {
        caller
            .request("GET", "/order/x", &format!("b{number}"))
            .await;
        let (status, head, _) = caller.response().await;
        assert_eq!(status, 503);
        let retry_after = head.fields.text("retry-after").map(str::parse::<f64>);
        let retry_after = retry_after.expect("a time").expect("a number");
        let left = Duration::from_millis(1_500).saturating_sub(paused_at.elapsed());
        assert!(retry_after >= left.as_secs_f64(), "{retry_after} {left:?}");
    }
    assert_eq!(upstream.events(), Vec::<String>::new());
    sleep(Duration::from_millis(1_500) + MARGIN).await;
    assert_eq!(status(&mut caller, "/read/x", "c1").await, 200);
}
