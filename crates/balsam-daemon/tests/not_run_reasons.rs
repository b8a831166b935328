//! The outcome `not-run`: the answer must state the reason, and no upstream may have run the
//! request.

mod common;

use balsam_decide::control::{ControlState, ServicePlacement};
use balsam_decide::node::View;
use balsam_types::control::{UnitOwner, UpstreamStatus};
use balsam_types::{Epoch, ServiceName, TimeMs};
use common::{Cluster, Upstream, call, now, open_request, read_answer};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// A request that fails validation must get a 4xx answer with its reason.
#[rstest]
#[case::no_key("GET /files", "", 400, "bad-request")]
#[case::empty_key("GET /files/", "", 400, "bad-request")]
#[case::no_service("GET /other/k1", "", 404, "unknown-service")]
#[case::no_rank("GET /files/k1", "balsam-rank: other\r\n", 404, "unknown-rank")]
#[case::bad_rank("GET /files/k1", "balsam-rank: a b\r\n", 400, "bad-request")]
#[case::two_ranks(
    "GET /files/k1",
    "balsam-rank: a\r\nbalsam-rank: b\r\n",
    400,
    "bad-request"
)]
#[case::zero_deadline("GET /files/k1", "balsam-deadline-ms: 0\r\n", 400, "bad-request")]
#[case::text_deadline("GET /files/k1", "balsam-deadline-ms: soon\r\n", 400, "bad-request")]
#[case::no_order_id("POST /files/k1", "balsam-rank: order\r\n", 400, "missing-order-id")]
#[case::large_body("PUT /files/k1", "content-length: 99999999\r\n", 413, "body-too-large")]
#[actix_rt::test]
async fn bad_request(
    #[case] request: &str,
    #[case] fields: &str,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(1, upstream.address).await;
    let answer = call(cluster.entry().caller, request, fields).await;
    assert_eq!(
        (answer.status, answer.outcome()),
        (status, ("not-run", reason))
    );
    assert!(upstream.try_next().is_none());
}

/// HTTP/1.0 requests must be rejected, because their callers cannot tell a complete answer from a
/// truncated one.
#[actix_rt::test]
async fn older_version() {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(1, upstream.address).await;
    let mut caller = TcpStream::connect(cluster.entry().caller).await.unwrap();
    caller
        .write_all(b"GET /files/k1 HTTP/1.0\r\n\r\n")
        .await
        .unwrap();
    let answer = read_answer(&mut caller).await;
    assert_eq!(
        (answer.status, answer.outcome()),
        (400, ("not-run", "bad-request"))
    );
    assert!(upstream.try_next().is_none());
}

/// An upstream may declare that it did not run a request. The request must then be retried, and the
/// last cause must be reported to the caller.
#[rstest]
#[case::local(1)]
#[case::relayed(2)]
#[actix_rt::test]
async fn declared_not_run(#[case] daemons: u64, #[values("shed", "starting")] cause: &str) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(daemons, upstream.address).await;
    let entry = cluster.entry().caller;
    let refusal = format!(
        "HTTP/1.1 503 Service Unavailable\r\nbalsam-not-run: {cause}\r\ncontent-length: 0\r\n\r\n"
    );
    let mut caller = open_request(entry, "POST /files/k1", "").await;
    upstream.next().await.answer(&refusal).await;
    upstream.next().await.ok("second").await;
    let answer = read_answer(&mut caller).await;
    assert_eq!((answer.status, answer.body), (200, b"second".to_vec()));
    let mut caller = open_request(entry, "POST /files/k1", "").await;
    for _ in 0..4 {
        upstream.next().await.answer(&refusal).await;
    }
    let answer = read_answer(&mut caller).await;
    assert_eq!((answer.status, answer.outcome()), (503, ("not-run", cause)));
}

/// A 503 without such a declaration must be passed on like any other answer.
#[actix_rt::test]
async fn undeclared_refusal() {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(1, upstream.address).await;
    let mut caller = open_request(cluster.entry().caller, "GET /files/k1", "").await;
    let refusal = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
    upstream.next().await.answer(refusal).await;
    let answer = read_answer(&mut caller).await;
    assert_eq!((answer.status, answer.outcome()), (503, ("answered", "")));
}

/// If no upstream connection can be opened, the request must be reported as not run.
#[actix_rt::test]
async fn connection_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let cluster = Cluster::start(2, address).await;
    let fields = "balsam-deadline-ms: 300\r\n";
    let answer = call(cluster.entry().caller, "POST /files/k1", fields).await;
    assert_eq!(answer.outcome(), ("not-run", "connect-failed"));
}

/// Nothing may be sent while the dispatcher's lease has expired. Requests must wait for its renewal
/// until their deadlines.
#[rstest]
#[case::local(1)]
#[case::relayed(2)]
#[actix_rt::test]
async fn expired_lease(#[case] daemons: u64) {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(daemons, upstream.address).await;
    let dispatcher = cluster.dispatcher();
    dispatcher.change(|view| view.lease_until = now());
    let entry = cluster.entry().caller;
    let answer = call(entry, "GET /files/k1", "balsam-deadline-ms: 200\r\n").await;
    assert_eq!(answer.outcome(), ("not-run", "right-lapsed"));
    let mut caller = open_request(entry, "GET /files/k1", "").await;
    sleep(Duration::from_millis(100)).await;
    assert!(
        upstream.try_next().is_none(),
        "request sent without a lease"
    );
    dispatcher.change(|view| view.lease_until = now().after(60_000));
    upstream.next().await.ok("done").await;
    assert!(read_answer(&mut caller).await.is_complete);
}

/// A daemon whose lease expired so long ago that its settings may be outdated must refuse requests
/// and report that it is not ready.
#[actix_rt::test]
async fn long_expired_lease() {
    let upstream = Upstream::start().await;
    let cluster = Cluster::start(1, upstream.address).await;
    cluster.change_all(|view| view.lease_until = TimeMs(0));
    let entry = cluster.entry().caller;
    assert_eq!(call(entry, "GET /-/ready", "").await.status, 503);
    let answer = call(entry, "GET /files/k1", "").await;
    assert_eq!(answer.outcome(), ("not-run", "right-lapsed"));
}

fn change_state(view: &mut View, change: impl FnOnce(&mut ControlState)) {
    let mut state = ControlState::clone(&view.state);
    state.epoch = state.epoch.next();
    change(&mut state);
    view.state = Arc::new(state);
}

fn change_units(view: &mut View, owner: impl Fn(&UnitOwner) -> UnitOwner) {
    change_state(view, |state| {
        let service = ServiceName::new("files").expect("a name");
        let placement = state.services.get_mut(&service).expect("a placement");
        let units = placement.units.iter();
        let units = units.map(|(unit, old)| (*unit, owner(old))).collect();
        *placement = Arc::new(ServicePlacement {
            units,
            ..ServicePlacement::default()
        });
    });
}

/// A request for a unit that is being moved must wait for the new owner until its deadline.
#[actix_rt::test]
async fn moving_unit() {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(2, upstream.address).await;
    cluster.change_all(|view| {
        change_units(view, |owner| match owner {
            UnitOwner::Owned(name) => UnitOwner::Moving {
                from: name.clone(),
                to: name.clone(),
                since_epoch: Epoch(2),
            },
            UnitOwner::Moving { .. } => owner.clone(),
        });
    });
    let entry = cluster.entry().caller;
    let answer = call(entry, "GET /files/k1", "balsam-deadline-ms: 200\r\n").await;
    assert_eq!(answer.outcome(), ("not-run", "no-owner"));
    let mut caller = open_request(entry, "GET /files/k1", "").await;
    sleep(Duration::from_millis(100)).await;
    assert!(
        upstream.try_next().is_none(),
        "request sent for a moving unit"
    );
    cluster.change_all(|view| {
        change_units(view, |owner| match owner {
            UnitOwner::Moving { to, .. } => UnitOwner::Owned(to.clone()),
            UnitOwner::Owned(_) => owner.clone(),
        });
    });
    let received = upstream.next().await;
    assert_eq!(received.field("balsam-epoch"), Some("3"));
    received.ok("done").await;
    assert!(read_answer(&mut caller).await.is_complete);
}

/// A draining upstream must not receive new requests, even while it still owns the key.
#[actix_rt::test]
async fn draining_upstream() {
    let mut upstream = Upstream::start().await;
    let cluster = Cluster::start(2, upstream.address).await;
    cluster.dispatcher().change(|view| {
        change_state(view, |state| {
            for upstream in state.upstreams.values_mut() {
                upstream.status = UpstreamStatus::Draining;
            }
        });
    });
    let entry = cluster.entry().caller;
    let answer = call(entry, "GET /files/k1", "balsam-deadline-ms: 300\r\n").await;
    assert_eq!(answer.outcome(), ("not-run", "draining"));
    assert!(
        upstream.try_next().is_none(),
        "request sent to a draining upstream"
    );
}
