//! Frames on HTTP/2 streams with flow control.

use super::PeerError;
use super::error::TruncatedSnafu;
use balsam_wire::peer::{Frame, FrameDecoder};
use bytes::Bytes;
use h2::{RecvStream, SendStream};
use snafu::OptionExt;
use std::future::poll_fn;

/// A part of a body, as the filters of the request path pass it on.
///
/// If a channel of parts closes without [`BodyPart::End`], the body is truncated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPart {
    /// The next bytes.
    Chunk(Bytes),
    /// The body is complete.
    End,
}

/// Sends all of `bytes`, as fast as the receiver's flow-control window allows.
pub(super) async fn send_bytes(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
) -> Result<(), PeerError> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity = poll_fn(|cx| stream.poll_capacity(cx)).await;
        let capacity = capacity.context(TruncatedSnafu)??;
        let part = bytes.split_to(capacity.min(bytes.len()));
        stream.send_data(part, false)?;
    }
    Ok(())
}

/// Reads frames, and releases flow-control capacity as they are read.
#[derive(Debug)]
pub(super) struct FrameReader {
    stream: RecvStream,
    decoder: FrameDecoder,
}

impl FrameReader {
    pub(super) fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            decoder: FrameDecoder::new(),
        }
    }

    /// Returns the next frame, or `None` at the end of the stream.
    ///
    /// Data is read and its capacity released only when the caller requests a frame, so that a slow
    /// caller stalls the sender instead of filling memory.
    pub(super) async fn next(&mut self) -> Result<Option<Frame>, PeerError> {
        loop {
            if let Some(frame) = self.decoder.next_frame()? {
                return Ok(Some(frame));
            }
            let Some(data) = self.stream.data().await else {
                self.decoder.finish()?;
                return Ok(None);
            };
            let data = data?;
            self.decoder.push(&data);
            self.stream.flow_control().release_capacity(data.len())?;
        }
    }

    /// Returns the next frame, or [`PeerError::Truncated`] at the end of the stream.
    pub(super) async fn require(&mut self) -> Result<Frame, PeerError> {
        self.next().await?.context(TruncatedSnafu)
    }
}
