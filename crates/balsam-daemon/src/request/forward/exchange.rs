//! Sends a request and reads the head of its answer.

use super::body::BodyReader;
use super::connection::UpstreamConnection;
use super::http1::{Framing, Http1Error, ParsedHead, encode_head, parse_head};
use super::permit::{Blocked, Permitted, SendPermit};
use super::write::{FirstWrite, write_first, write_rest};
use crate::request::clock::{instant_at, now};
use crate::request::message::{Attempt, Failure, RequestBody};
use balsam_types::{NotRunReason, RequestHead, ResponseHead, TimeMs, UnknownReason};
use balsam_wire::upstream::{NotRunCause, headers};
use bytes::{Bytes, BytesMut};
use log::debug;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, timeout_at};

/// The time limit for opening a connection. An upstream that takes longer will not serve the
/// request in time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum number of bytes per read.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// The maximum number of bytes before the end of an answer's head, interim answers included.
const HEAD_MAX_BYTES: usize = 128 << 10;

/// An answer whose head was received.
#[derive(Debug)]
pub(super) struct Started {
    pub(super) head: ResponseHead,
    /// The reader of the answer's body.
    pub(super) reader: BodyReader,
}

/// An exchange that ended without an answer.
#[derive(Debug)]
pub(super) struct Ended {
    /// The failure to report for the attempt.
    pub(super) failure: Failure,
    /// The connection, if it can be reused.
    pub(super) connection: Option<UpstreamConnection>,
    /// The time at which the request was sent, if the connection broke after the complete request
    /// and before the head of the answer.
    ///
    /// It is `None` for an incomplete request, which says nothing about whether the request crashes
    /// upstreams.
    pub(super) crashed: Option<TimeMs>,
}

impl From<Failure> for Ended {
    fn from(failure: Failure) -> Self {
        Self {
            failure,
            connection: None,
            crashed: None,
        }
    }
}

/// Sends a request over `idle` or a new connection and reads the head of its answer.
///
/// Nothing is sent while the permit blocks the request. A connection that is found closed before
/// the first byte is replaced.
pub(super) async fn start(
    attempt: Attempt,
    mut idle: Option<UpstreamConnection>,
    permit: &SendPermit,
) -> Result<Started, Ended> {
    let Attempt { request, body, .. } = attempt;
    let head = request.head;
    let framing = body_framing(&head, &body);
    loop {
        let permitted = permit.wait(SendPermit::check).await?;
        let connection = match idle.take() {
            Some(connection) if connection.is_reusable(permitted.address) => connection,
            Some(_) | None => open(&permitted).await?,
        };
        let bytes = encode(&head, &permitted, &body, framing)?;
        let address = connection.address();
        let UpstreamConnection {
            read,
            write,
            buffer,
            ..
        } = connection;
        match write_first(&write, permit, bytes).await {
            FirstWrite::Sent(rest) => {
                let rest = write_rest(write, permit.clone(), rest, body, framing);
                let exchange = Exchange {
                    read,
                    buffer,
                    writing: Writing::Running(Box::pin(rest)),
                };
                let connection = (exchange, address);
                return read_answer(connection, &head, permitted).await;
            }
            FirstWrite::Blocked(Blocked::Refuse(reason)) => {
                return Err(Failure::NotRun(reason).into());
            }
            FirstWrite::Blocked(Blocked::Wait(_)) => {
                idle = Some(UpstreamConnection::build(read, write, buffer, address));
            }
            FirstWrite::Closed => {}
        }
    }
}

/// The state of writing the request.
pub(super) enum Writing {
    /// Part of the request is still to be written.
    Running(std::pin::Pin<Box<dyn Future<Output = Option<OwnedWriteHalf>> + Send>>),
    /// Writing has ended. Holds the write half if the request is complete, or `None` if it cannot
    /// be completed.
    Done(Option<OwnedWriteHalf>),
}

impl std::fmt::Debug for Writing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Running(_) => "Running",
            Self::Done(Some(_)) => "Complete",
            Self::Done(None) => "Incomplete",
        })
    }
}

impl Writing {
    const fn is_complete(&self) -> bool {
        matches!(self, Self::Done(Some(_)))
    }

    /// Continues writing. Never returns once writing has ended.
    pub(super) async fn run(&mut self) {
        match self {
            Self::Running(rest) => {
                let write = rest.await;
                *self = Self::Done(write);
            }
            Self::Done(_) => std::future::pending().await,
        }
    }
}

/// An in-flight request on its connection.
#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) read: OwnedReadHalf,
    pub(super) buffer: BytesMut,
    pub(super) writing: Writing,
}

impl Exchange {
    /// Reads more bytes while the request is still being written. Returns `false` when the
    /// connection has ended.
    pub(super) async fn read_more(&mut self) -> bool {
        self.buffer.reserve(READ_BUFFER_BYTES);
        loop {
            tokio::select! {
                read = self.read.read_buf(&mut self.buffer) => {
                    return matches!(read, Ok(read_bytes) if read_bytes > 0);
                }
                () = self.writing.run() => {}
            }
        }
    }
}

async fn open(permitted: &Permitted) -> Result<UpstreamConnection, Failure> {
    let until = instant_at(permitted.deadline).min(Instant::now() + CONNECT_TIMEOUT);
    match timeout_at(until, UpstreamConnection::open(permitted.address)).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(_)) | Err(_) => Err(Failure::NotRun(NotRunReason::ConnectFailed)),
    }
}

fn body_framing(head: &RequestHead, body: &RequestBody) -> Framing {
    match (body, head.body_length_bytes) {
        (RequestBody::Whole(bytes), _) => Framing::Length(bytes.len() as u64),
        (RequestBody::Stream(_), Some(length_bytes)) => Framing::Length(length_bytes),
        (RequestBody::Stream(_), None) => Framing::Chunked,
    }
}

fn encode(
    head: &RequestHead,
    permitted: &Permitted,
    body: &RequestBody,
    framing: Framing,
) -> Result<Bytes, Failure> {
    let bytes = encode_head(head, permitted.routing, permitted.address, framing);
    let mut bytes = bytes.map_err(|error| {
        debug!("{error}");
        Failure::NotRun(NotRunReason::BadRequest)
    })?;
    if let RequestBody::Whole(body) = body {
        bytes.extend_from_slice(body);
    }
    Ok(bytes.freeze())
}

async fn read_answer(
    (mut exchange, address): (Exchange, std::net::SocketAddr),
    head: &RequestHead,
    permitted: Permitted,
) -> Result<Started, Ended> {
    let sent_at = now();
    let until = instant_at(permitted.deadline);
    let parsed = match timeout_at(until, read_head(&mut exchange, &head.method)).await {
        Ok(Ok(parsed)) => parsed,
        Ok(Err(failure)) => {
            let crashed = failure == HeadFailure::Closed && exchange.writing.is_complete();
            let crashed = crashed.then_some(sent_at);
            return Err(Ended {
                failure: failure.into(),
                connection: None,
                crashed,
            });
        }
        Err(_) => return Err(Failure::Unknown(UnknownReason::DeadlineAfterSend).into()),
    };
    if !is_answer_to(&parsed.head, head) {
        debug!("answer discarded: its key or order ID differs from the request's");
        return Err(Failure::Unknown(UnknownReason::UpstreamLost).into());
    }
    let declared = not_run_cause(&parsed.head);
    let head = parsed.head;
    let reader = BodyReader::new(exchange, parsed.body, parsed.keep_alive, address);
    match declared {
        Some(cause) => Err(Ended {
            failure: Failure::NotRun(cause.into()),
            connection: reader.drain().await,
            crashed: None,
        }),
        None => Ok(Started { head, reader }),
    }
}

/// The reason why no head of an answer was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeadFailure {
    /// The connection was closed.
    Closed,
    /// The head is not valid HTTP/1.1 or is not accepted.
    Malformed,
}

impl From<HeadFailure> for Failure {
    fn from(_: HeadFailure) -> Self {
        Self::Unknown(UnknownReason::UpstreamLost)
    }
}

async fn read_head(exchange: &mut Exchange, method: &str) -> Result<ParsedHead, HeadFailure> {
    let mut read_bytes = 0;
    loop {
        match parse_head(&mut exchange.buffer, method == "HEAD") {
            Ok(Some(parsed)) => return Ok(parsed),
            Ok(None) => {}
            Err(error) => return Err(malformed(&error)),
        }
        let buffered_bytes = exchange.buffer.len();
        if !exchange.read_more().await {
            return Err(HeadFailure::Closed);
        }
        read_bytes += exchange.buffer.len() - buffered_bytes;
        if read_bytes > HEAD_MAX_BYTES {
            debug!("answer head: more than {HEAD_MAX_BYTES} bytes, interim answers included");
            return Err(HeadFailure::Malformed);
        }
    }
}

fn malformed(error: &Http1Error) -> HeadFailure {
    debug!("{error}");
    HeadFailure::Malformed
}

fn field<'a>(head: &'a ResponseHead, name: &str) -> Option<&'a [u8]> {
    let found = head.headers.iter().find(|field| *field.name == *name);
    found.map(|field| field.value.as_slice())
}

/// Returns whether the key and order ID in an answer, if present, match `request`.
fn is_answer_to(answer: &ResponseHead, request: &RequestHead) -> bool {
    let key = request.key.text.as_bytes();
    let id = request.order_id.as_ref().map(|id| id.as_str().as_bytes());
    let named_key = field(answer, headers::KEY);
    let named_id = field(answer, headers::IDEMPOTENCY_KEY);
    named_key.is_none_or(|named| named == key) && (named_id.is_none() || named_id == id)
}

/// Returns the cause if the upstream declares that it did not run the request.
fn not_run_cause(head: &ResponseHead) -> Option<NotRunCause> {
    if head.status != 503 {
        return None;
    }
    let text = std::str::from_utf8(field(head, headers::NOT_RUN)?).ok()?;
    NotRunCause::from_text(text)
}
