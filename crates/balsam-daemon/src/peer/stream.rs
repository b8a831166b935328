//! Frames on h2 streams under flow control.

use super::PeerError;
use super::error::TruncatedSnafu;
use balsam_wire::peer::{Frame, FrameDecoder};
use bytes::Bytes;
use h2::{RecvStream, SendStream};
use snafu::OptionExt;
use std::future::poll_fn;

/// A part of a body on its way through the filters.
///
/// A channel of parts that closes without [`BodyPart::End`] carries a truncated body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPart {
    /// The next bytes.
    Chunk(Bytes),
    /// The body is complete.
    End,
}

/// Sends all of `bytes` as the receiver's window allows.
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

/// Reads frames and gives the window back as they are taken.
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
    /// The window is given back only for bytes that the caller asked for, so that a slow caller
    /// stalls the sender instead of filling memory.
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

    /// Returns the next frame of a stream that must have one.
    pub(super) async fn require(&mut self) -> Result<Frame, PeerError> {
        self.next().await?.context(TruncatedSnafu)
    }
}
