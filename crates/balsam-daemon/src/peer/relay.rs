//! The streams of relayed requests.
//!
//! In each direction a stream carries a head, body frames and an end marker, which proves that the
//! body is complete.

use super::error::{MismatchedSnafu, PeerError, RefusedSnafu, TruncatedSnafu};
use super::stream::{BodyPart, FrameReader, send_bytes};
use balsam_wire::peer::{
    BODY_FRAME_MAX_BYTES, FrameKind, PeerRefusal, RelayAnswer, RelayRequest, WireEnd,
    WireRelayAnswer, WireRelayRequest, decode, frame_header, frame_message,
};
use bytes::Bytes;
use h2::client::ResponseFuture;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{Response, StatusCode};
use log::debug;
use snafu::ensure;
use std::future::poll_fn;

/// The encoded head of a relayed request.
#[derive(Clone, Debug)]
pub struct RequestFrame(Bytes);

impl RequestFrame {
    /// Encodes the head of a request, so that a head that is too long fails before anything is sent.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] if the head is too long.
    pub fn new(request: &RelayRequest) -> Result<Self, PeerError> {
        let frame = frame_message(FrameKind::Head, &WireRelayRequest::from(request))?;
        Ok(Self(frame))
    }
}

/// Writes the head, the body frames and the end marker of one direction of a stream.
#[derive(Debug)]
pub struct RelayWriter {
    stream: SendStream<Bytes>,
    body_bytes: u64,
}

impl RelayWriter {
    pub(super) const fn new(stream: SendStream<Bytes>) -> Self {
        Self {
            stream,
            body_bytes: 0,
        }
    }

    /// Sends the head of a request.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] if the stream fails.
    pub async fn send_request(&mut self, head: RequestFrame) -> Result<(), PeerError> {
        send_bytes(&mut self.stream, head.0).await
    }

    /// Sends the head of a response.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] if the stream fails or the head is too long.
    pub async fn send_answer(&mut self, answer: &RelayAnswer) -> Result<(), PeerError> {
        let frame = frame_message(FrameKind::Head, &WireRelayAnswer::from(answer))?;
        send_bytes(&mut self.stream, frame).await
    }

    /// Sends a part of the body; [`BodyPart::End`] sends the end marker and ends the stream.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] if the stream fails.
    pub async fn send_part(&mut self, part: BodyPart) -> Result<(), PeerError> {
        match part {
            BodyPart::Chunk(bytes) => self.send_chunk(bytes).await,
            BodyPart::End => {
                let body_bytes = self.body_bytes;
                let frame = frame_message(FrameKind::End, &WireEnd { body_bytes })?;
                send_bytes(&mut self.stream, frame).await?;
                self.stream.send_data(Bytes::new(), true)?;
                Ok(())
            }
        }
    }

    async fn send_chunk(&mut self, mut bytes: Bytes) -> Result<(), PeerError> {
        while !bytes.is_empty() {
            let chunk = bytes.split_to(bytes.len().min(BODY_FRAME_MAX_BYTES));
            self.body_bytes += chunk.len() as u64;
            send_bytes(
                &mut self.stream,
                frame_header(FrameKind::Body, chunk.len())?,
            )
            .await?;
            send_bytes(&mut self.stream, chunk).await?;
        }
        Ok(())
    }

    /// Waits until the other side resets the stream, as it does when its caller disconnects.
    pub async fn wait_reset(&mut self) {
        // A lost connection also ends the wait, because no response can be sent over it.
        let _reset = poll_fn(|cx| self.stream.poll_reset(cx)).await;
    }

    /// Ends the stream without an end marker, so that the reader sees a truncated body.
    ///
    /// A reset would also discard bytes that were sent but not yet read; the reader needs them to
    /// resume a read after the last byte received.
    pub fn abort(&mut self) {
        if let Err(error) = self.stream.send_data(Bytes::new(), true) {
            debug!("cannot end the stream of a relayed request: {error}");
        }
    }
}

/// Reads the head, the body frames and the end marker of one direction of a stream.
#[derive(Debug)]
pub struct RelayReader {
    frames: FrameReader,
    body_bytes: u64,
}

impl RelayReader {
    pub(super) fn new(stream: RecvStream) -> Self {
        Self {
            frames: FrameReader::new(stream),
            body_bytes: 0,
        }
    }

    pub(super) async fn read_request(&mut self) -> Result<RelayRequest, PeerError> {
        let payload = self.frames.require().await?.expect(FrameKind::Head)?;
        Ok(decode::<WireRelayRequest>(payload)?.try_into()?)
    }

    async fn read_answer(&mut self) -> Result<RelayAnswer, PeerError> {
        let payload = self.frames.require().await?.expect(FrameKind::Head)?;
        Ok(decode::<WireRelayAnswer>(payload)?.try_into()?)
    }

    /// Reads the next part of the body.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] if the stream fails, or ends without an end marker that matches the
    /// bytes received.
    pub async fn next_part(&mut self) -> Result<BodyPart, PeerError> {
        let frame = self.frames.require().await?;
        if frame.kind == FrameKind::Body {
            self.body_bytes += frame.payload.len() as u64;
            return Ok(BodyPart::Chunk(frame.payload));
        }
        let end: WireEnd = decode(frame.expect(FrameKind::End)?)?;
        ensure!(end.body_bytes == self.body_bytes, TruncatedSnafu);
        Ok(BodyPart::End)
    }
}

/// An open stream to a dispatcher, on which nothing has been sent yet.
#[derive(Debug)]
pub struct RelayCall {
    /// Writes the request.
    pub writer: RelayWriter,
    pub(super) response: ResponseFuture,
}

impl RelayCall {
    /// Splits the call into the writer of the request and the pending response.
    pub fn split(self) -> (RelayWriter, RelayResponse) {
        (self.writer, RelayResponse(self.response))
    }
}

/// The pending response to a relayed request.
#[derive(Debug)]
pub struct RelayResponse(ResponseFuture);

impl RelayResponse {
    /// Waits for the head of the response and returns it with the reader of the body.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] if the dispatcher refuses the stream or the stream fails.
    pub async fn answer(self) -> Result<(RelayAnswer, RelayReader), PeerError> {
        let response = self.0.await?;
        let status = response.status();
        let mut reader = RelayReader::new(response.into_body());
        if status != StatusCode::OK {
            return Err(read_refusal(reader.frames).await);
        }
        let answer = reader.read_answer().await?;
        Ok((answer, reader))
    }
}

/// Reads the refusal of a peer and returns it as an error.
pub(super) async fn read_refusal(mut frames: FrameReader) -> PeerError {
    let refusal = async {
        let payload = frames.require().await?.expect(FrameKind::Message)?;
        Ok::<PeerRefusal, PeerError>(decode(payload)?)
    };
    match refusal.await {
        Ok(refusal) => RefusedSnafu { refusal }.build(),
        Err(PeerError::Broken { source }) => PeerError::Broken { source },
        Err(_) => MismatchedSnafu.build(),
    }
}

/// A relayed request, as the listener passes it to the request path.
#[derive(Debug)]
pub struct IncomingRelay {
    /// The head of the request.
    pub request: RelayRequest,
    /// The reader of the request body.
    pub body: RelayReader,
    pub(super) respond: SendResponse<Bytes>,
}

impl IncomingRelay {
    /// Starts the response and returns its writer with the head and the body of the request.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] if the stream has failed.
    pub fn accept(mut self) -> Result<(RelayRequest, RelayReader, RelayWriter), PeerError> {
        let stream = self.respond.send_response(Response::new(()), false)?;
        Ok((self.request, self.body, RelayWriter::new(stream)))
    }

    /// Refuses the request, of which no part has been executed.
    pub fn refuse(mut self, refusal: PeerRefusal) {
        super::incoming::refuse(&mut self.respond, refusal);
    }
}
