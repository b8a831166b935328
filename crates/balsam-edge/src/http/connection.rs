//! A client connection and the exchanges on it.

use super::error::{ClosedSnafu, ConnectSnafu, IoSnafu, MalformedSnafu, TooLongSnafu};
use super::{ExchangeError, socket};
use balsam_http1::{BodyDecoder, BodyStep, Fields, ParsedResponseHead, parse_response};
use bytes::{Bytes, BytesMut};
use snafu::{ResultExt, ensure};
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Size of a read from the socket, in bytes.
const READ_BYTES: usize = 16 << 10;

/// Upper limit on the bytes that are read before the head of a response is complete, interim
/// responses included.
const HEAD_MAX_BYTES: usize = 128 << 10;

/// Number of refusals that a connection may record. It is not reused once it has recorded that
/// many.
const REFUSALS_MAX: usize = 32;

/// A complete response.
#[derive(Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub fields: Fields,
    /// The body.
    pub body: Bytes,
}

/// How much of a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// No byte was written to the socket.
    Nothing,
    /// Some bytes were written.
    Partly,
    /// All bytes were written.
    Whole,
}

/// A connection that this process opened. It carries one exchange at a time.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    last_used_at: Instant,
    /// Whether an exchange has ended on the connection.
    was_used: bool,
    /// Ids of the requests that the peer has refused on the connection.
    refused: Vec<String>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::Connect`] or [`ExchangeError::TimedOut`].
    pub async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Self, ExchangeError> {
        let Ok(opened) = timeout(connect_timeout, TcpStream::connect(address)).await else {
            return Err(ExchangeError::TimedOut);
        };
        let stream = opened.context(ConnectSnafu)?;
        socket::set_options(&stream);
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            last_used_at: Instant::now(),
            was_used: false,
            refused: Vec::new(),
        })
    }

    /// Limits the buffers that the system has for the connection.
    pub(crate) fn limit_buffers(&self) {
        socket::limit_buffers(&self.stream);
    }

    /// Waits for the time in which the peer resets a connection that it does not take. Returns
    /// whether the connection is still open and may carry a request.
    pub async fn settle(&self, wait: Duration) -> bool {
        // A readable connection has been closed, or carries bytes that belong to no request.
        drop(timeout(wait, self.stream.readable()).await);
        self.is_reusable()
    }

    /// Returns whether no exchange has ended on the connection. If so, a response without an id
    /// cannot belong to an earlier request.
    pub const fn is_unused(&self) -> bool {
        !self.was_used
    }

    /// Returns whether the peer has refused a request with this id on the connection. A repeated
    /// copy of that refusal would look like the response to a retry of the request.
    pub fn has_refused(&self, id: &str) -> bool {
        self.refused.iter().any(|refused| refused == id)
    }

    /// Records that the peer has refused a request. Returns whether the connection may be reused.
    pub fn record_refusal(&mut self, id: &str) -> bool {
        self.refused.push(id.to_owned());
        self.refused.len() < REFUSALS_MAX
    }

    /// Returns how long the connection has been idle.
    pub fn idle(&self) -> Duration {
        self.last_used_at.elapsed()
    }

    /// Returns whether the peer has neither closed the idle connection nor sent anything on it.
    ///
    /// Unread bytes would be taken for the response to the next request.
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.buffer.is_empty()
            && matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Closes the connection with a reset, which discards the bytes that the peer has not received
    /// yet.
    pub fn reset(self) {
        socket::reset(&self.stream);
    }

    /// Sends a request and reads the head of the response. `sent` tells how much of the request was
    /// sent, also after an error.
    ///
    /// Head and body are passed separately, so that no attempt needs a copy of the body.
    ///
    /// Reading and writing go on at the same time, because the peer may respond before it has read
    /// the whole request.
    ///
    /// # Errors
    ///
    /// Returns an [`ExchangeError`] if the connection fails or the response is malformed.
    pub async fn start(
        &mut self,
        request_head: &[u8],
        request_body: &[u8],
        is_head_request: bool,
        sent: &mut Sent,
    ) -> Result<ParsedResponseHead, ExchangeError> {
        *sent = Sent::Nothing;
        let mut slices = [IoSlice::new(request_head), IoSlice::new(request_body)];
        let mut rest = &mut slices[..];
        IoSlice::advance_slices(&mut rest, 0);
        let mut head_bytes = 0;
        loop {
            if let Some(head) =
                parse_response(&mut self.buffer, is_head_request).context(MalformedSnafu)?
            {
                return Ok(head);
            }
            self.buffer.reserve(READ_BYTES);
            let (mut read, mut write) = self.stream.split();
            tokio::select! {
                written = write.write_vectored(rest), if !rest.is_empty() => {
                    let written_bytes = written.context(IoSnafu)?;
                    ensure!(written_bytes > 0, ClosedSnafu);
                    IoSlice::advance_slices(&mut rest, written_bytes);
                    *sent = if rest.is_empty() { Sent::Whole } else { Sent::Partly };
                }
                read = read.read_buf(&mut self.buffer) => {
                    head_bytes += check_head_length(read.context(IoSnafu)?, head_bytes)?;
                }
            }
        }
    }

    /// Reads the head of a further response on the connection.
    ///
    /// # Errors
    ///
    /// Returns an [`ExchangeError`] if the connection fails or the response is malformed.
    pub async fn next_head(
        &mut self,
        is_head_request: bool,
    ) -> Result<ParsedResponseHead, ExchangeError> {
        let mut head_bytes = 0;
        loop {
            if let Some(head) =
                parse_response(&mut self.buffer, is_head_request).context(MalformedSnafu)?
            {
                return Ok(head);
            }
            head_bytes += check_head_length(self.fill().await?, head_bytes)?;
        }
    }

    /// Returns the next chunk of a body, or `None` at its verified end.
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
                // A regular close ends a body whose length is not stated in any other way.
                ensure!(decoder.ends_at_close(), ClosedSnafu);
                return Ok(None);
            }
        }
    }

    /// Reads the rest of a body of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns an [`ExchangeError`] if the body is longer, malformed or truncated.
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

    /// Sends a request and reads the complete response. Returns whether the connection may be
    /// reused.
    ///
    /// # Errors
    ///
    /// Returns an [`ExchangeError`] if the connection fails or the response is malformed.
    pub async fn exchange(
        &mut self,
        request: &[u8],
        max_bytes: usize,
        sent: &mut Sent,
    ) -> Result<(Response, bool), ExchangeError> {
        let mut head = self.start(request, &[], false, sent).await?;
        let body = self.body(&mut head.body, max_bytes).await?;
        self.last_used_at = Instant::now();
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

    /// Marks the connection as idle. Returns whether it is open and holds no unread bytes.
    pub fn rest(&mut self) -> bool {
        self.was_used = true;
        self.last_used_at = Instant::now();
        self.buffer = BytesMut::new();
        self.is_reusable()
    }

    /// Returns whether bytes were received that belong to no response so far.
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

/// Checks the number of bytes that a read returned for the head of a response, after `before_bytes`
/// from earlier reads.
fn check_head_length(bytes: usize, before_bytes: usize) -> Result<usize, ExchangeError> {
    ensure!(bytes > 0, ClosedSnafu);
    let max_bytes = HEAD_MAX_BYTES;
    ensure!(
        before_bytes + bytes <= max_bytes,
        TooLongSnafu { max_bytes }
    );
    Ok(bytes)
}
