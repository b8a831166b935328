//! One connection and the exchange on it.

use super::error::{ClosedSnafu, ConnectSnafu, IoSnafu, MalformedSnafu, TooLongSnafu};
use super::{ExchangeError, socket};
use balsam_http1::{BodyDecoder, BodyStep, Fields, ParsedResponseHead, parse_response};
use bytes::{Bytes, BytesMut};
use snafu::{ResultExt, ensure};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Bytes that are read at once.
const READ_BYTES: usize = 16 << 10;

/// Bytes that are read before the head of an answer is complete, interim answers included.
const HEAD_MAX_BYTES: usize = 128 << 10;

/// Refusals that are remembered; a connection with more is not used again.
const REFUSALS_MAX: usize = 32;

/// A whole answer.
#[derive(Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub fields: Fields,
    /// The body.
    pub body: Bytes,
}

/// How much of a request has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// No byte was handed to the socket.
    Nothing,
    /// Some bytes were.
    Partly,
    /// All were.
    Whole,
}

/// A connection that this side opened; one exchange at a time.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    used_at: Instant,
    /// Whether an exchange has ended on it.
    was_used: bool,
    /// The requests that the peer has refused on it, by their ids.
    refused: Vec<String>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::Connect`] or [`ExchangeError::TimedOut`].
    pub async fn open(address: SocketAddr, within: Duration) -> Result<Self, ExchangeError> {
        let Ok(opened) = timeout(within, TcpStream::connect(address)).await else {
            return Err(ExchangeError::TimedOut);
        };
        let stream = opened.context(ConnectSnafu)?;
        socket::tune(&stream);
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            used_at: Instant::now(),
            was_used: false,
            refused: Vec::new(),
        })
    }

    /// Returns whether no exchange has ended on the connection, so that an answer can be to no
    /// earlier request.
    pub const fn is_unused(&self) -> bool {
        !self.was_used
    }

    /// Returns whether the peer has refused a request with this id on the connection; a copy of that
    /// refusal could not be told from the answer to the same request.
    pub fn has_refused(&self, id: &str) -> bool {
        self.refused.iter().any(|refused| refused == id)
    }

    /// Notes that the peer has refused a request; returns whether the connection can be kept.
    pub fn record_refusal(&mut self, id: &str) -> bool {
        self.refused.push(id.to_owned());
        self.refused.len() < REFUSALS_MAX
    }

    /// Returns how long the connection has been idle.
    pub fn idle(&self) -> Duration {
        self.used_at.elapsed()
    }

    /// Returns whether the peer has neither closed the idle connection nor sent anything on it.
    ///
    /// Unread bytes belong to no request of this side.
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.buffer.is_empty()
            && matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Closes the connection so that bytes still on their way to the peer are dropped.
    pub fn reset(self) {
        socket::reset(&self.stream);
    }

    /// Sends a request and reads the head of the answer; `sent` tells how much has left.
    ///
    /// The peer may answer before it has read the whole request, so that both go on at once.
    ///
    /// # Errors
    ///
    /// Returns an [`ExchangeError`] if the connection fails or the answer is malformed.
    pub async fn start(
        &mut self,
        request: &[u8],
        to_head: bool,
        sent: &mut Sent,
    ) -> Result<ParsedResponseHead, ExchangeError> {
        *sent = Sent::Nothing;
        let mut rest = request;
        let mut head_bytes = 0;
        loop {
            if let Some(head) = parse_response(&mut self.buffer, to_head).context(MalformedSnafu)? {
                return Ok(head);
            }
            self.buffer.reserve(READ_BYTES);
            let (mut read, mut write) = self.stream.split();
            tokio::select! {
                written = write.write(rest), if !rest.is_empty() => {
                    let written_bytes = written.context(IoSnafu)?;
                    ensure!(written_bytes > 0, ClosedSnafu);
                    rest = &rest[written_bytes..];
                    *sent = if rest.is_empty() { Sent::Whole } else { Sent::Partly };
                }
                read = read.read_buf(&mut self.buffer) => {
                    head_bytes += received(read.context(IoSnafu)?, head_bytes)?;
                }
            }
        }
    }

    /// Reads the head of a further answer on the connection.
    ///
    /// # Errors
    ///
    /// Returns an [`ExchangeError`] if the connection fails or the answer is malformed.
    pub async fn next_head(&mut self, to_head: bool) -> Result<ParsedResponseHead, ExchangeError> {
        let mut head_bytes = 0;
        loop {
            if let Some(head) = parse_response(&mut self.buffer, to_head).context(MalformedSnafu)? {
                return Ok(head);
            }
            head_bytes += received(self.fill().await?, head_bytes)?;
        }
    }

    /// Returns the next part of a body, or `None` at its proven end.
    ///
    /// # Errors
    ///
    /// Returns an [`ExchangeError`] if the connection fails or ends before the body.
    pub async fn chunk(
        &mut self,
        decoder: &mut BodyDecoder,
    ) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match decoder.step(&mut self.buffer).context(MalformedSnafu)? {
                BodyStep::Chunk(bytes) => return Ok(Some(bytes)),
                BodyStep::End => return Ok(None),
                BodyStep::NeedMore => {}
            }
            if self.fill().await? == 0 {
                // An orderly close completes a body without another mark of its end.
                ensure!(decoder.ends_at_close(), ClosedSnafu);
                return Ok(None);
            }
        }
    }

    /// Reads the rest of a body of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns an [`ExchangeError`] if the body is longer, malformed or cut short.
    pub async fn body(
        &mut self,
        decoder: &mut BodyDecoder,
        max_bytes: usize,
    ) -> Result<Bytes, ExchangeError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.chunk(decoder).await? {
            ensure!(
                body.len() + chunk.len() <= max_bytes,
                TooLongSnafu { max_bytes }
            );
            if body.is_empty() {
                body = BytesMut::from(chunk);
            } else {
                body.extend_from_slice(&chunk);
            }
        }
        Ok(body.freeze())
    }

    /// Sends a request and reads its whole answer; returns whether the connection can be kept.
    ///
    /// # Errors
    ///
    /// Returns an [`ExchangeError`] if the connection fails or the answer is malformed.
    pub async fn exchange(
        &mut self,
        request: &[u8],
        max_bytes: usize,
        sent: &mut Sent,
    ) -> Result<(Response, bool), ExchangeError> {
        let mut head = self.start(request, false, sent).await?;
        let body = self.body(&mut head.body, max_bytes).await?;
        self.used_at = Instant::now();
        let keep = head.keep_alive && *sent == Sent::Whole && self.buffer.is_empty();
        Ok((
            Response {
                status: head.status,
                fields: head.fields,
                body,
            },
            keep,
        ))
    }

    /// Notes that the connection becomes idle; returns whether it holds no unread bytes.
    pub fn rest(&mut self) -> bool {
        self.was_used = true;
        self.used_at = Instant::now();
        self.buffer = BytesMut::new();
        self.is_reusable()
    }

    /// Returns whether bytes were received that belong to no answer so far.
    pub fn has_unread(&self) -> bool {
        !self.buffer.is_empty()
    }

    async fn fill(&mut self) -> Result<usize, ExchangeError> {
        self.buffer.reserve(READ_BYTES);
        self.stream
            .read_buf(&mut self.buffer)
            .await
            .context(IoSnafu)
    }
}

/// Checks bytes that were read for the head of an answer, of which `before_bytes` came earlier.
fn received(bytes: usize, before_bytes: usize) -> Result<usize, ExchangeError> {
    ensure!(bytes > 0, ClosedSnafu);
    let max_bytes = HEAD_MAX_BYTES;
    ensure!(
        before_bytes + bytes <= max_bytes,
        TooLongSnafu { max_bytes }
    );
    Ok(bytes)
}
