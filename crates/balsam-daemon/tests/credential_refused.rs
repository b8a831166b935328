//! The credential check of the peer listener, and the refusals that a calling peer sees.
//!
//! A stream without the right credential must not reach any task of the daemon.

use balsam_daemon::peer::{
    IncomingControl, ListenerHandle, PeerChannels, PeerError, PeerRequest, PeerResponse,
    PeerSettings, start_client, start_listener,
};
use balsam_decide::node::ChangesBody;
use balsam_types::control::{Change, LogEntry};
use balsam_types::settings::{NodeEdit, NodePath, SettingKey, SettingValue};
use balsam_types::{AttemptId, Epoch, Incarnation};
use balsam_wire::peer::PeerRefusal;
use bytes::Bytes;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;

const SECRET: &str = "right-credential";

fn loopback_any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn deadline_in_5_s() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

async fn start_test_listener() -> (ListenerHandle, mpsc::Receiver<IncomingControl>) {
    let (control, requests) = mpsc::channel(8);
    let (relays, _) = mpsc::channel(8);
    let channels = PeerChannels { control, relays };
    let handle = start_listener(loopback_any_port(), PeerSettings::new(SECRET), channels).await;
    (handle.expect("a free port on loopback"), requests)
}

/// Guards against a wrong credential that is accepted because of its length or a common prefix, and
/// against a refused request that still reaches the control task.
#[rstest]
#[case::empty("")]
#[case::prefix("right")]
#[case::longer("right-credential-and-more")]
#[case::same_length("wrong-credential")]
#[actix_rt::test]
async fn wrong_credential(#[case] credential: &str) {
    let (listener, mut requests) = start_test_listener().await;
    let client = start_client(&PeerSettings::new(credential));
    let request = PeerRequest::Changes { after: Epoch(0) };
    let result = client
        .call(listener.address, request, deadline_in_5_s())
        .await;
    let refused = matches!(
        result,
        Err(PeerError::Refused {
            refusal: PeerRefusal::Credential
        })
    );
    assert!(refused, "{result:?}");
    requests.try_recv().unwrap_err();
}

/// Guards against an unknown path that gets no typed refusal although the credential is right.
#[actix_rt::test]
async fn unknown_path() {
    let (listener, _requests) = start_test_listener().await;
    let socket = TcpStream::connect(listener.address).await.unwrap();
    let (sender, connection) = h2::client::handshake(socket).await.unwrap();
    actix_rt::spawn(connection);
    let request = http::Request::post("http://peer/other")
        .header("authorization", format!("Bearer {SECRET}"))
        .body(())
        .unwrap();
    let mut sender = sender.ready().await.unwrap();
    let (response, _) = sender.send_request(request, true).unwrap();
    let mut response = response.await.unwrap();
    assert_eq!(response.status(), 404);
    let body: Bytes = response.body_mut().data().await.unwrap().unwrap();
    let refusal: PeerRefusal = balsam_wire::peer::decode(&body[5..]).unwrap();
    assert_eq!(refusal, PeerRefusal::UnknownPath);
}

/// Guards against a right credential that is refused, and against settings values that change when
/// they are encoded and decoded.
#[actix_rt::test]
async fn right_credential() {
    let (listener, mut requests) = start_test_listener().await;
    let edit = NodeEdit::new(NodePath::Root, Epoch(3))
        .with_value(SettingKey::Weight, SettingValue::Number(7));
    let entry = LogEntry {
        epoch: Epoch(4),
        attempt: AttemptId(1),
        author: Incarnation(2),
        change: Change::Settings { edits: vec![edit] },
    };
    let body = ChangesBody::Entries(vec![entry]);
    let answer = PeerResponse::Changes(body.clone());
    actix_rt::spawn(async move {
        let incoming = requests.recv().await.unwrap();
        assert_eq!(incoming.request, PeerRequest::Changes { after: Epoch(3) });
        incoming.reply.send(answer).unwrap();
    });
    let client = start_client(&PeerSettings::new(SECRET));
    let request = PeerRequest::Changes { after: Epoch(3) };
    let result = client
        .call(listener.address, request, deadline_in_5_s())
        .await;
    assert_eq!(result.unwrap(), PeerResponse::Changes(body));
}

/// Guards against an unreachable peer that is reported as if it might have executed the request, or
/// only after the deadline.
#[actix_rt::test]
async fn peer_unreachable() {
    let (listener, _requests) = start_test_listener().await;
    let address = listener.address;
    listener.stop().await;
    let client = start_client(&PeerSettings::new(SECRET));
    let request = PeerRequest::Changes { after: Epoch(0) };
    let error = client
        .call(address, request, deadline_in_5_s())
        .await
        .unwrap_err();
    assert!(error.is_not_executed(), "{error}");
}

/// Guards against a peer that waits until its deadline although the task that should reply has
/// dropped the request; it must get a refusal at once.
#[actix_rt::test]
async fn reply_dropped() {
    let (listener, mut requests) = start_test_listener().await;
    actix_rt::spawn(async move { drop(requests.recv().await) });
    let client = start_client(&PeerSettings::new(SECRET));
    let request = PeerRequest::Changes { after: Epoch(0) };
    let error = client
        .call(listener.address, request, deadline_in_5_s())
        .await;
    assert!(matches!(
        error,
        Err(PeerError::Refused {
            refusal: PeerRefusal::Busy
        })
    ));
}
