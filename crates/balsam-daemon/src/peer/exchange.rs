//! One control request (a heartbeat or a request for log entries) and its response on an HTTP/2
//! stream.

use super::error::{MismatchedSnafu, PeerError};
use super::relay::read_refusal;
use super::stream::{FrameReader, send_bytes};
use super::{PeerRequest, PeerResponse};
use balsam_decide::node::{ChangesBody, Heartbeat};
use balsam_types::Epoch;
use balsam_wire::peer::{
    FrameKind, WireChanges, WireChangesRequest, WireHeartbeat, WireHeartbeatReply, decode,
    frame_message,
};
use bytes::Bytes;
use h2::SendStream;
use h2::client::{ResponseFuture, SendRequest};
use http::{Method, Request, StatusCode};

/// The paths that a daemon serves to its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerPath {
    /// Heartbeats.
    Heartbeat,
    /// Requests for the log entries after an epoch.
    Changes,
    /// Relayed requests.
    Relay,
}

impl PeerPath {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Heartbeat => "/pulse",
            Self::Changes => "/changes",
            Self::Relay => "/relay",
        }
    }

    /// Returns the path whose text is `text`.
    pub(super) fn from_text(text: &str) -> Option<Self> {
        [Self::Heartbeat, Self::Changes, Self::Relay]
            .into_iter()
            .find(|path| path.as_str() == text)
    }
}

/// Opens a request stream to `path`.
pub(super) fn open_stream(
    sender: &mut SendRequest<Bytes>,
    path: PeerPath,
    credential: &str,
) -> Result<(ResponseFuture, SendStream<Bytes>), PeerError> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://peer{}", path.as_str()))
        .header(http::header::AUTHORIZATION, format!("Bearer {credential}"))
        .body(());
    // Building the request fails only if the credential has control characters, and the peer would
    // refuse such a credential as well.
    let request = request.map_err(|_| MismatchedSnafu.build())?;
    Ok(sender.send_request(request, false)?)
}

/// Sends a control request and reads the response.
pub(super) async fn exchange(
    mut sender: SendRequest<Bytes>,
    credential: &str,
    request: &PeerRequest,
) -> Result<PeerResponse, PeerError> {
    let (path, frame) = match request {
        PeerRequest::Heartbeat(heartbeat) => (
            PeerPath::Heartbeat,
            frame_message(FrameKind::Message, &WireHeartbeat::from(heartbeat))?,
        ),
        PeerRequest::Changes { after } => (
            PeerPath::Changes,
            frame_message(FrameKind::Message, &WireChangesRequest::from(*after))?,
        ),
    };
    let (response, mut stream) = open_stream(&mut sender, path, credential)?;
    drop(sender);
    send_bytes(&mut stream, frame).await?;
    stream.send_data(Bytes::new(), true)?;
    let response = response.await?;
    let status = response.status();
    let mut frames = FrameReader::new(response.into_body());
    if status != StatusCode::OK {
        return Err(read_refusal(frames).await);
    }
    let payload = frames.require().await?.expect(FrameKind::Message)?;
    Ok(match request {
        PeerRequest::Heartbeat(_) => {
            PeerResponse::Heartbeat(decode::<WireHeartbeatReply>(payload)?.into())
        }
        PeerRequest::Changes { .. } => {
            PeerResponse::Changes(ChangesBody::try_from(decode::<WireChanges>(payload)?)?)
        }
    })
}

/// Decodes a control request that was received on `path`.
pub(super) fn decode_request(path: PeerPath, payload: &Bytes) -> Result<PeerRequest, PeerError> {
    match path {
        PeerPath::Heartbeat => {
            let heartbeat = Heartbeat::try_from(decode::<WireHeartbeat>(payload)?)?;
            Ok(PeerRequest::Heartbeat(heartbeat))
        }
        PeerPath::Changes => {
            let after = Epoch::from(decode::<WireChangesRequest>(payload)?);
            Ok(PeerRequest::Changes { after })
        }
        PeerPath::Relay => MismatchedSnafu.fail(),
    }
}

/// Encodes the response to a control request.
pub(super) fn encode_response(response: &PeerResponse) -> Result<Bytes, PeerError> {
    Ok(match response {
        PeerResponse::Heartbeat(reply) => {
            frame_message(FrameKind::Message, &WireHeartbeatReply::from(*reply))?
        }
        PeerResponse::Changes(body) => {
            frame_message(FrameKind::Message, &WireChanges::try_from(body)?)?
        }
    })
}
