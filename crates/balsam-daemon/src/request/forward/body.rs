//! Reading of answer bodies.

use super::connection::UpstreamConnection;
use super::exchange::{Exchange, Writing};
use super::http1::{BodyDecoder, BodyStep};
use crate::peer::BodyPart;
use bytes::Bytes;
use log::debug;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// The maximum time between two parts of a body, both for reading from the upstream and for the
/// receiver of the answer.
///
/// It limits how long a stalled exchange occupies a slot, without ending a slow download that makes
/// progress.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The maximum size of a refusal's body that is read so that the connection can be reused.
const DRAIN_MAX_BYTES: usize = 16 << 10;

/// The time limit for reading the body of a refusal.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// An answer whose body has not been read yet.
#[derive(Debug)]
pub(super) struct BodyReader {
    exchange: Exchange,
    decoder: BodyDecoder,
    keep_alive: bool,
    address: SocketAddr,
}

impl BodyReader {
    pub(super) const fn new(
        exchange: Exchange,
        decoder: BodyDecoder,
        keep_alive: bool,
        address: SocketAddr,
    ) -> Self {
        Self {
            exchange,
            decoder,
            keep_alive,
            address,
        }
    }

    /// Forwards the body to `parts`. Returns the connection if it can be reused.
    ///
    /// The receiver sees a body without [`BodyPart::End`] as truncated.
    pub(super) async fn stream_to(
        mut self,
        parts: mpsc::Sender<BodyPart>,
    ) -> Option<UpstreamConnection> {
        loop {
            let chunk = tokio::select! {
                chunk = timeout(STALL_TIMEOUT, self.next_chunk()) => chunk.ok()?,
                // The caller disconnected. Closing the connection cancels the request at the
                // upstream.
                () = parts.closed() => return None,
            };
            let part = match chunk? {
                Some(bytes) => BodyPart::Chunk(bytes),
                None => BodyPart::End,
            };
            let is_end = part == BodyPart::End;
            let sent = timeout(STALL_TIMEOUT, parts.send(part)).await;
            if !matches!(sent, Ok(Ok(()))) {
                return None;
            }
            if is_end {
                return self.into_idle();
            }
        }
    }

    /// Reads and discards a short body. Returns the connection if it can be reused.
    pub(super) async fn drain(mut self) -> Option<UpstreamConnection> {
        let read = async {
            let mut left_bytes = DRAIN_MAX_BYTES;
            while let Some(bytes) = self.next_chunk().await? {
                left_bytes = left_bytes.checked_sub(bytes.len())?;
            }
            Some(())
        };
        timeout(DRAIN_TIMEOUT, read).await.ok()??;
        self.into_idle()
    }

    /// Returns the next bytes, `Some(None)` at the end of a complete body, or `None` for a
    /// truncated body.
    async fn next_chunk(&mut self) -> Option<Option<Bytes>> {
        loop {
            match self.decoder.step(&mut self.exchange.buffer) {
                Ok(BodyStep::Chunk(bytes)) => return Some(Some(bytes)),
                Ok(BodyStep::End) => return Some(None),
                Ok(BodyStep::NeedMore) => {}
                Err(error) => {
                    debug!("{error}");
                    return None;
                }
            }
            if !self.exchange.read_more().await {
                return None;
            }
        }
    }

    /// Returns the connection if the request and the answer are complete and no other bytes were
    /// received.
    fn into_idle(self) -> Option<UpstreamConnection> {
        let Exchange {
            read,
            buffer,
            writing,
        } = self.exchange;
        match writing {
            Writing::Done(Some(write)) if self.keep_alive && buffer.is_empty() => {
                Some(UpstreamConnection::build(read, write, buffer, self.address))
            }
            Writing::Done(_) | Writing::Running(_) => None,
        }
    }
}
