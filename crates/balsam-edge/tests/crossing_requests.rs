//! Requests that are on their way while the daemon closes their connection.

mod support;

use std::time::Duration;
use support::{Behavior, Caller, Upstream, start};

/// Time after which a caller must have learned that nobody reads its request.
const LOSS_LIMIT: Duration = Duration::from_millis(200);

/// Guards against a stopping daemon that reads and drops a request: the caller would wait for the
/// response on a connection that looks healthy.
#[actix_rt::test]
async fn request_crosses_close() {
    let mut upstream = Upstream::start("u1", &[Behavior::Respond]).await;
    let edge = start(Some(&[&upstream])).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("GET", "/read/x", "r1").await;
    assert_eq!(caller.response().await.0, 200);
    assert_eq!(upstream.next_event().await, "r1");
    let stop = actix_rt::spawn(edge.stop());
    caller.wait_closed().await;
    caller.request("GET", "/read/x", "r2").await;
    assert!(caller.is_reset_within(LOSS_LIMIT).await);
    stop.await.expect("a graceful stop");
    assert_eq!(upstream.events().len(), 0);
}
