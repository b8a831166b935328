//! Guards the peer listener: a stream without the credential must reach no task of the daemon.

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

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

async fn listen() -> (ListenerHandle, mpsc::Receiver<IncomingControl>) {
    let (control, requests) = mpsc::channel(8);
    let (relays, _) = mpsc::channel(8);
    let channels = PeerChannels { control, relays };
    let handle = start_listener(any_port(), PeerSettings::new(SECRET), channels).await;
    (handle.expect("a free port on loopback"), requests)
}

/// Guards that a wrong credential of any length is refused and that nothing is handed on.
#[rstest]
#[case::empty("")]
#[case::prefix("right")]
#[case::longer("right-credential-and-more")]
#[case::same_length("wrong-credential")]
#[actix_rt::test]
async fn wrong_credential(#[case] credential: &str) {
    let (listener, mut requests) = listen().await;
    let client = start_client(&PeerSettings::new(credential));
    let request = PeerRequest::Changes { after: Epoch(0) };
    let result = client.call(listener.address, request, soon()).await;
    let refused = matches!(
        result,
        Err(PeerError::Refused {
            refusal: PeerRefusal::Credential
        })
    );
    assert!(refused, "{result:?}");
    requests.try_recv().unwrap_err();
}

/// Guards that an unknown path is refused with a type although the credential is right.
#[actix_rt::test]
async fn unknown_path() {
    let (listener, _requests) = listen().await;
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

/// Guards that the right credential passes and that settings values survive the encoding.
#[actix_rt::test]
async fn right_credential() {
    let (listener, mut requests) = listen().await;
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
    let result = client.call(listener.address, request, soon()).await;
    assert_eq!(result.unwrap(), PeerResponse::Changes(body));
}

/// Guards that a peer that does not listen is reported as not reached, and within the deadline.
#[actix_rt::test]
async fn peer_unreachable() {
    let (listener, _requests) = listen().await;
    let address = listener.address;
    listener.stop().await;
    let client = start_client(&PeerSettings::new(SECRET));
    let request = PeerRequest::Changes { after: Epoch(0) };
    let error = client.call(address, request, soon()).await.unwrap_err();
    assert!(error.is_not_executed(), "{error}");
}

/// Guards that a reply of a task that has gone is a refusal and not a silent wait.
#[actix_rt::test]
async fn reply_dropped() {
    let (listener, mut requests) = listen().await;
    actix_rt::spawn(async move { drop(requests.recv().await) });
    let client = start_client(&PeerSettings::new(SECRET));
    let request = PeerRequest::Changes { after: Epoch(0) };
    let error = client.call(listener.address, request, soon()).await;
    assert!(matches!(
        error,
        Err(PeerError::Refused {
            refusal: PeerRefusal::Busy
        })
    ));
}
