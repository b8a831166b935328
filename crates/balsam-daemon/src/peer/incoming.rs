//! One stream from a peer: credential, path, request, answer.

use super::PeerError;
use super::exchange::{PeerPath, decode_request, encode_response};
use super::listener::PeerChannels;
use super::relay::RelayReader;
use super::settings::{CONTROL_ANSWER_TIMEOUT, REQUEST_READ_TIMEOUT};
use super::stream::{FrameReader, send_bytes};
use super::{IncomingControl, IncomingRelay};
use balsam_wire::peer::{FrameKind, PeerRefusal, frame_message};
use bytes::Bytes;
use h2::RecvStream;
use h2::server::SendResponse;
use http::{Method, Request, Response, StatusCode};
use log::{debug, warn};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Serves one stream.
pub(super) async fn serve_stream(
    credential: Arc<str>,
    channels: PeerChannels,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    if !has_credential(&request, &credential) {
        warn!("peer stream refused: {}", PeerRefusal::Credential.as_str());
        return refuse(&mut respond, PeerRefusal::Credential);
    }
    let path = PeerPath::from_text(request.uri().path());
    let (Some(path), &Method::POST) = (path, request.method()) else {
        return refuse(&mut respond, PeerRefusal::UnknownPath);
    };
    let body = request.into_body();
    match path {
        PeerPath::Heartbeat | PeerPath::Changes => {
            serve_control(path, &channels.control, body, respond).await;
        }
        PeerPath::Relay => serve_relay(&channels.relays, body, respond).await,
    }
}

/// Compares the whole credential in any case, so that the time taken does not tell how much of a
/// wrong one was right.
fn has_credential(request: &Request<RecvStream>, credential: &str) -> bool {
    let value = request.headers().get(http::header::AUTHORIZATION);
    let Some(given) = value.and_then(|value| value.as_bytes().strip_prefix(b"Bearer ")) else {
        return false;
    };
    let wanted = credential.as_bytes();
    let pairs = given.iter().zip(wanted);
    given.len() == wanted.len() && pairs.fold(0, |found, (a, b)| found | (a ^ b)) == 0
}

/// Answers a stream with a typed refusal.
pub(super) fn refuse(respond: &mut SendResponse<Bytes>, refusal: PeerRefusal) {
    let mut response = Response::new(());
    *response.status_mut() =
        StatusCode::from_u16(refusal.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let sent = respond.send_response(response, false).map(|mut stream| {
        // A refusal is a few bytes long and fits every window; a peer that left needs no answer.
        if let Ok(frame) = frame_message(FrameKind::Message, &refusal) {
            drop(stream.send_data(frame, true));
        }
    });
    if let Err(error) = sent {
        debug!("peer stream: {error}");
    }
}

async fn serve_control(
    path: PeerPath,
    control: &mpsc::Sender<IncomingControl>,
    body: RecvStream,
    mut respond: SendResponse<Bytes>,
) {
    let request = match timeout(REQUEST_READ_TIMEOUT, read_control(path, body)).await {
        Ok(Ok(request)) => request,
        Ok(Err(error)) => {
            debug!("peer request: {error}");
            return refuse(&mut respond, PeerRefusal::Malformed);
        }
        Err(_) => return refuse(&mut respond, PeerRefusal::Malformed),
    };
    let (reply, answer) = oneshot::channel();
    if control
        .try_send(IncomingControl { request, reply })
        .is_err()
    {
        return refuse(&mut respond, PeerRefusal::Busy);
    }
    let Ok(Ok(response)) = timeout(CONTROL_ANSWER_TIMEOUT, answer).await else {
        return refuse(&mut respond, PeerRefusal::Busy);
    };
    match encode_response(&response) {
        Ok(frame) => {
            if let Err(error) = answer_stream(&mut respond, frame).await {
                debug!("peer answer: {error}");
            }
        }
        Err(error) => {
            warn!("peer answer: {error}");
            refuse(&mut respond, PeerRefusal::Busy);
        }
    }
}

async fn read_control(path: PeerPath, body: RecvStream) -> Result<super::PeerRequest, PeerError> {
    let mut frames = FrameReader::new(body);
    let payload = frames.require().await?.expect(FrameKind::Message)?;
    decode_request(path, &payload)
}

async fn answer_stream(respond: &mut SendResponse<Bytes>, frame: Bytes) -> Result<(), PeerError> {
    let mut stream = respond.send_response(Response::new(()), false)?;
    send_bytes(&mut stream, frame).await?;
    stream.send_data(Bytes::new(), true)?;
    Ok(())
}

async fn serve_relay(
    relays: &mpsc::Sender<IncomingRelay>,
    body: RecvStream,
    mut respond: SendResponse<Bytes>,
) {
    let mut body = RelayReader::new(body);
    let request = match timeout(REQUEST_READ_TIMEOUT, body.read_request()).await {
        Ok(Ok(request)) => request,
        Ok(Err(error)) => {
            debug!("relayed request: {error}");
            return refuse(&mut respond, PeerRefusal::Malformed);
        }
        Err(_) => return refuse(&mut respond, PeerRefusal::Malformed),
    };
    let relay = IncomingRelay {
        request,
        body,
        respond,
    };
    if let Err(error) = relays.try_send(relay) {
        error.into_inner().refuse(PeerRefusal::Busy);
    }
}
