//! The body of an answer.

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

/// The longest pause within a body, of the upstream or of the reader of the answer.
///
/// It bounds how long a stalled exchange holds a slot; a slow but moving download goes on.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes of the body of a refusal that are read so that the connection can be used again.
const DRAIN_MAX_BYTES: usize = 16 << 10;

/// The time for reading the body of a refusal.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// An answer whose body is still to be read.
#[derive(Debug)]
pub(super) struct Reading {
    exchange: Exchange,
    decoder: BodyDecoder,
    keep_alive: bool,
    address: SocketAddr,
}

impl Reading {
    /// Makes the reader of a body.
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

    /// Passes the body on; returns the connection if it can be used again.
    ///
    /// Without [`BodyPart::End`] the receiver sees a truncated body.
    pub(super) async fn stream_to(
        mut self,
        parts: mpsc::Sender<BodyPart>,
    ) -> Option<UpstreamConnection> {
        loop {
            let chunk = tokio::select! {
                chunk = timeout(STALL_TIMEOUT, self.next_chunk()) => chunk.ok()?,
                // The caller has gone away; closing the connection cancels the request.
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

    /// Reads and drops a short body.
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

    /// Returns the next bytes, `Some(None)` at the proven end and `None` for a truncated body.
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

    /// Returns the connection if both messages are complete and nothing else was received.
    fn into_idle(self) -> Option<UpstreamConnection> {
        let Exchange {
            read,
            buffer,
            writing,
        } = self.exchange;
        match writing {
            Writing::Done(Some(write)) if self.keep_alive && buffer.is_empty() => {
                Some(UpstreamConnection::of(read, write, buffer, self.address))
            }
            Writing::Done(_) | Writing::Running(_) => None,
        }
    }
}
