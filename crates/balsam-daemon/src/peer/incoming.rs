//! The server side of one stream from a peer: checks the credential and the path, reads the request
//! and sends the response.

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

/// Serves one stream from a peer.
pub(super) async fn serve_stream(
    credential: Arc<str>,
    channels: PeerChannels,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    if !has_credential(&request, &credential) {
        warn!(
            "refused a stream from a peer: {}",
            PeerRefusal::Credential.as_str()
        );
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

/// Checks the credential of a request.
///
/// All bytes are compared even after a difference, so that the time taken does not reveal how much of
/// a wrong credential is right.
fn has_credential(request: &Request<RecvStream>, credential: &str) -> bool {
    let value = request.headers().get(http::header::AUTHORIZATION);
    let Some(presented) = value.and_then(|value| value.as_bytes().strip_prefix(b"Bearer ")) else {
        return false;
    };
    let expected = credential.as_bytes();
    let pairs = presented.iter().zip(expected);
    presented.len() == expected.len()
        && pairs.fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
}

/// Responds to a stream with a refusal.
pub(super) fn refuse(respond: &mut SendResponse<Bytes>, refusal: PeerRefusal) {
    let mut response = Response::new(());
    *response.status_mut() =
        StatusCode::from_u16(refusal.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let sent = respond.send_response(response, false).map(|mut stream| {
        // A refusal is a few bytes long and fits into every flow-control window. Sending fails only
        // if the peer has left, and then no response is needed.
        if let Ok(frame) = frame_message(FrameKind::Message, &refusal) {
            drop(stream.send_data(frame, true));
        }
    });
    if let Err(error) = sent {
        debug!("cannot refuse a stream from a peer: {error}");
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
            debug!("invalid control request from a peer: {error}");
            return refuse(&mut respond, PeerRefusal::Malformed);
        }
        Err(_) => return refuse(&mut respond, PeerRefusal::Malformed),
    };
    let (reply, response_receiver) = oneshot::channel();
    if control
        .try_send(IncomingControl { request, reply })
        .is_err()
    {
        return refuse(&mut respond, PeerRefusal::Busy);
    }
    let Ok(Ok(response)) = timeout(CONTROL_ANSWER_TIMEOUT, response_receiver).await else {
        return refuse(&mut respond, PeerRefusal::Busy);
    };
    match encode_response(&response) {
        Ok(frame) => {
            if let Err(error) = send_response_frame(&mut respond, frame).await {
                debug!("cannot send the response to a peer: {error}");
            }
        }
        Err(error) => {
            warn!("cannot encode the response to a peer: {error}");
            refuse(&mut respond, PeerRefusal::Busy);
        }
    }
}

async fn read_control(path: PeerPath, body: RecvStream) -> Result<super::PeerRequest, PeerError> {
    let mut frames = FrameReader::new(body);
    let payload = frames.require().await?.expect(FrameKind::Message)?;
    decode_request(path, &payload)
}

async fn send_response_frame(
    respond: &mut SendResponse<Bytes>,
    frame: Bytes,
) -> Result<(), PeerError> {
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
            debug!("invalid head of a relayed request: {error}");
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
