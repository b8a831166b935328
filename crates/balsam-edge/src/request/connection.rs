//! The task of one connection of a caller.

use super::accept::Phase;
use super::read::{CallerRequest, CompleteRequest, ReadError, ReadStep, Reader};
use super::reply::{BodyPart, Reply};
use super::route::RouteError;
use super::serve::{RequestContext, refuse_stopping, serve};
use crate::clock::now;
use crate::http::limit_buffers;
use crate::memory::{Held, PendingBytes, Reserving};
use balsam_decide::memory::{FREE_BYTES, MemoryRefusal, Purpose, Stall};
use balsam_http1::encode_chunk;
use balsam_types::CallerLimits;
use bytes::{Bytes, BytesMut};
use log::debug;
use std::collections::VecDeque;
use std::io::IoSlice;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout};

/// Upper limit on pipelined requests of one connection that are served concurrently. Further ones
/// are not read yet.
const PIPELINE_MAX: usize = 8;

/// Upper limit on bytes of pipelined requests that are buffered. Further bytes stay in the socket.
const READ_AHEAD_MAX_BYTES: usize = 64 << 10;

/// Upper limit on bytes that are buffered where memory is limited, and either a body is read or
/// requests are in flight. A head in front of them may be as long as is configured.
const LIMITED_READ_AHEAD_BYTES: usize = 8 << 10;

/// Time after which a caller should come back whose body did not arrive while others needed its
/// memory, in milliseconds.
const RECLAIMED_RETRY_MS: u64 = 2_000;

/// Size of a read from the socket, in bytes.
const READ_BYTES: usize = 4 << 10;

/// Time limit for writing one piece of a response to a caller.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Minimum of the time by which an idle connection, or the head of a request, outlives the
/// configured limit; a longer limit is doubled instead.
///
/// Callers measure the idle time from the end of the last response, and their next request takes a
/// while to arrive. On a saturated link the response alone takes several seconds. A request that is
/// sent while the daemon closes the connection is lost.
const IDLE_MARGIN_MIN: Duration = Duration::from_secs(5);

/// How long to wait for bytes that may have arrived already before an idle connection is closed.
const FINAL_READ_WAIT: Duration = Duration::from_millis(5);

/// How long a closed connection is still read. Unread bytes would reset the connection before the
/// caller has received its response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a connection is read whose caller may still be sending a body that was refused. Many
/// callers look for a response only after they have sent the whole body.
const BODY_LINGER_TIMEOUT: Duration = Duration::from_secs(5);

/// A request in flight. Dropping it cancels the request.
#[derive(Debug)]
struct InFlight {
    reply: oneshot::Receiver<Reply>,
    task: JoinHandle<()>,
    is_head_request: bool,
    keep_alive: bool,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reason that a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The caller has closed or reset the connection.
    Disconnected,
    /// The last response announced the close.
    Finished,
    /// The last response refused a request whose body is still arriving.
    BodyRefused,
    /// The connection was idle for too long.
    Idle,
    /// A response was truncated, which only a reset of the connection can show.
    Truncated,
}

/// State of one connection of a caller.
#[derive(Debug)]
pub(super) struct CallerConnection {
    stream: TcpStream,
    context: RequestContext,
    phase: watch::Receiver<Phase>,
    buffer: BytesMut,
    reader: Reader,
    in_flight: VecDeque<InFlight>,
    /// The bytes that the request being read holds.
    held: Held,
    /// The reservation for the request being read, until the budget has answered.
    pending: Option<PendingBytes>,
    /// A request that could not be read. It is refused after the responses to the requests before
    /// it.
    read_error: Option<ReadError>,
    /// Id of the request that could not be read, if it has one.
    refused_id: Option<String>,
    last_active_at: Instant,
    /// When the first bytes arrived of a head that is not complete yet.
    head_started_at: Option<Instant>,
    /// Whether no further request is read.
    is_closing: bool,
}

impl CallerConnection {
    /// Creates the task of an accepted connection.
    pub(super) fn new(
        stream: TcpStream,
        context: RequestContext,
        phase: watch::Receiver<Phase>,
    ) -> Self {
        let held = context.memory.hold(FREE_BYTES);
        Self {
            stream,
            context,
            phase,
            buffer: BytesMut::new(),
            reader: Reader::default(),
            in_flight: VecDeque::new(),
            held,
            pending: None,
            read_error: None,
            refused_id: None,
            last_active_at: Instant::now(),
            head_started_at: None,
            is_closing: false,
        }
    }

    /// Serves the connection until it ends.
    pub(super) async fn run(mut self) {
        if let Err(error) = self.stream.set_nodelay(true) {
            debug!("caller connection: TCP_NODELAY not set: {error}");
        }
        if self.context.memory.is_limited() {
            limit_buffers(&self.stream);
        }
        let end = self.serve().await;
        // Cancels the requests in flight.
        self.in_flight.clear();
        match end {
            // Without a response on its way there is nothing to linger for, and a request that
            // crosses the close must not be read: a reset tells its caller at once.
            End::Disconnected | End::Idle => {}
            End::Truncated => {
                // Reset the connection, because a regular close would make a truncated body look
                // complete.
                let reference = socket2::SockRef::from(&self.stream);
                if let Err(error) = reference.set_linger(Some(Duration::ZERO)) {
                    debug!("caller connection: cannot be reset and is closed instead: {error}");
                }
            }
            End::Finished => self.linger(LINGER_TIMEOUT).await,
            End::BodyRefused => self.linger(BODY_LINGER_TIMEOUT).await,
        }
    }

    async fn serve(&mut self) -> End {
        loop {
            if let Some(end) = self.take_requests().await {
                return end;
            }
            let limits = self.limits();
            let is_idle = self.in_flight.is_empty();
            let idle_at = self.idle_at(limits);
            let has_space = self.buffer.len() < self.read_ahead_bytes() && self.pending.is_none();
            let current_phase = *self.phase.borrow();
            let is_drained = is_idle && self.buffer.is_empty() && !self.reader.is_mid_request();
            if current_phase == Phase::Closing && is_drained && !self.has_pending_bytes().await {
                return End::Idle;
            }
            let is_reserving = self.pending.is_some();
            let is_reading_body = self.reader.is_mid_request() && self.pending.is_none();
            let pending = self.pending.as_mut();
            let answer = async {
                match pending {
                    Some(pending) => pending.answer().await,
                    None => std::future::pending().await,
                }
            };
            let front = self.in_flight.front_mut();
            let reply = async {
                match front {
                    Some(front) => (&mut front.reply).await.ok(),
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                reply = reply => {
                    let Some(front) = self.in_flight.pop_front() else {
                        continue;
                    };
                    let reply = reply.unwrap_or(Reply::local(502));
                    if let Some(end) = self.send_reply(front, reply).await {
                        return end;
                    }
                }
                answer = answer => {
                    let pending = self.pending.take();
                    match answer {
                        Ok(granted) => {
                            self.reader.add_reserved(pending.map_or(0, |pending| pending.bytes()));
                            self.held.complete(granted);
                            self.last_active_at = Instant::now();
                        }
                        Err(refusal) => self.refuse_memory(refusal),
                    }
                }
                () = self.held.reclaimed(Stall::Body), if is_reading_body => {
                    let retry_after_ms = RECLAIMED_RETRY_MS;
                    self.refuse_memory(MemoryRefusal::Full { retry_after_ms });
                }
                // Reading goes on while requests are in flight, so that the caller's disconnect is
                // noticed.
                ready = self.stream.readable(), if has_space => {
                    if ready.is_err() || !self.read() {
                        return End::Disconnected;
                    }
                }
                changed = self.phase.changed() => {
                    if changed.is_err() {
                        return End::Idle;
                    }
                }
                () = sleep_until(idle_at), if is_idle && !is_reserving => {
                    if self.has_pending_bytes().await {
                        continue;
                    }
                    if self.reader.is_mid_request() || !self.buffer.is_empty() {
                        return self.refuse(408, None).await;
                    }
                    return End::Idle;
                }
            }
        }
    }

    fn limits(&self) -> CallerLimits {
        let view = self.context.views.borrow();
        view.table
            .as_ref()
            .map_or_else(CallerLimits::default, |table| table.limits())
    }

    /// Returns how many bytes may be buffered.
    fn read_ahead_bytes(&self) -> usize {
        let is_behind = self.reader.is_mid_request() || !self.in_flight.is_empty();
        if !self.context.memory.is_limited() {
            READ_AHEAD_MAX_BYTES
        } else if is_behind || self.read_error.is_some() {
            LIMITED_READ_AHEAD_BYTES
        } else {
            READ_AHEAD_MAX_BYTES.min(self.limits().header_max_bytes + READ_BYTES)
        }
    }

    /// Returns when the connection has been idle for too long, or a request took too long to arrive.
    ///
    /// A head is limited in total, or else a caller could keep the connection for hours by sending it
    /// byte by byte. A body may be long, and is limited by its length and by each pause.
    fn idle_at(&self, limits: CallerLimits) -> Instant {
        let header_timeout = Duration::from_millis(limits.header_timeout_ms);
        let idle_timeout = Duration::from_millis(limits.idle_timeout_ms);
        if self.reader.is_mid_request() {
            return self.last_active_at + header_timeout;
        }
        match self.head_started_at {
            Some(started_at) => {
                let pause_at = self.last_active_at + header_timeout;
                pause_at.min(started_at + with_margin(header_timeout))
            }
            None => self.last_active_at + with_margin(idle_timeout),
        }
    }

    /// Returns whether another request is accepted.
    ///
    /// From the leaving phase on, the daemon responds to the requests that it has accepted, and its
    /// last response announces the close. Callers send the requests behind it again on another
    /// connection, since those count as not processed.
    fn accepts_more(&self) -> bool {
        let is_open = match *self.phase.borrow() {
            Phase::Running => true,
            Phase::Leaving | Phase::Closing => self.in_flight.is_empty(),
        };
        let has_room = self.in_flight.len() < PIPELINE_MAX;
        is_open && has_room && !self.is_closing && self.read_error.is_none()
    }

    /// Reads the bytes that have arrived. Returns `false` if the caller has disconnected.
    fn read(&mut self) -> bool {
        self.buffer.reserve(READ_BYTES);
        match self.stream.try_read_buf(&mut self.buffer) {
            Ok(0) => false,
            Ok(bytes) => {
                self.last_active_at = Instant::now();
                self.held.record_progress(bytes);
                true
            }
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
        }
    }

    /// Reads bytes that arrived before the connection is closed. Returns whether there were any.
    ///
    /// A daemon that was busy or suspended may see the end of the idle time before it sees bytes
    /// that arrived earlier.
    async fn has_pending_bytes(&mut self) -> bool {
        let buffered_bytes = self.buffer.len();
        let is_readable = timeout(FINAL_READ_WAIT, self.stream.readable())
            .await
            .is_ok();
        is_readable && self.read() && self.buffer.len() > buffered_bytes
    }

    /// Starts serving the requests that have arrived.
    async fn take_requests(&mut self) -> Option<End> {
        while self.accepts_more() && self.pending.is_none() {
            let limits = self.limits();
            match self.reader.step(now(), &mut self.buffer, limits) {
                Ok(ReadStep::Need) => {
                    let has_head_start = !self.buffer.is_empty() && !self.reader.is_mid_request();
                    let started_at = self.head_started_at.unwrap_or_else(Instant::now);
                    self.head_started_at = has_head_start.then_some(started_at);
                    break;
                }
                Ok(ReadStep::Reserve(bytes)) => self.reserve(bytes),
                Ok(ReadStep::Continue) => {
                    if self.in_flight.is_empty() {
                        let interim_response = Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n");
                        if !self.write_unheld(&interim_response).await {
                            return Some(End::Disconnected);
                        }
                    }
                }
                Ok(ReadStep::Request(request)) => self.start(*request),
                Err(read_error) => self.read_error = Some(read_error),
            }
        }
        match self.read_error {
            Some(read_error) if self.in_flight.is_empty() => {
                match self
                    .refuse(read_error.status(), read_error.retry_after_ms())
                    .await
                {
                    End::Finished if read_error.is_mid_body() => Some(End::BodyRefused),
                    end => Some(end),
                }
            }
            _ => None,
        }
    }

    /// Reserves bytes for the body that is being read.
    fn reserve(&mut self, bytes: u64) {
        if self.held.used_bytes() == 0 {
            self.held = self.hold();
        }
        match self.held.start_reserving(bytes, Purpose::Body) {
            Ok(Reserving::Done) => self.reader.add_reserved(bytes),
            Ok(Reserving::Pending(pending)) => self.pending = Some(pending),
            Err(refusal) => self.refuse_memory(refusal),
        }
    }

    /// Returns what the next request may hold. Requests behind another one hold nothing without a
    /// reservation, because the bytes set aside for a connection are enough for one.
    fn hold(&self) -> Held {
        let is_first = self.in_flight.is_empty();
        let free_bytes = if is_first { FREE_BYTES } else { 0 };
        self.context.memory.hold(free_bytes)
    }

    /// Refuses the request that is being read, of which nothing was sent to an upstream.
    fn refuse_memory(&mut self, refusal: MemoryRefusal) {
        if let Some(head) = self.reader.abandon() {
            let reason = match refusal {
                MemoryRefusal::Full { .. } => RouteError::NoMemory,
                MemoryRefusal::TooLarge => RouteError::ExceedsMemory,
            };
            let id = head.fields.text(self.context.names.attempt_id);
            self.context.recorder.unrouted(id, &head, reason);
            self.refused_id = id.map(str::to_owned);
        }
        self.held = self.hold();
        self.buffer.clear();
        self.read_error = Some(ReadError::NoMemory(refusal));
    }

    fn start(&mut self, request: CompleteRequest) {
        self.head_started_at = None;
        let (sender, reply) = oneshot::channel();
        let CompleteRequest {
            head,
            body,
            received_at,
        } = request;
        let next = self.hold();
        // A request without a body has reserved nothing, and starts with what it may hold now.
        let mut held = match self.held.used_bytes() {
            0 => next,
            _ => std::mem::replace(&mut self.held, next),
        };
        held.end_wait();
        let request = CallerRequest {
            head,
            body,
            received_at,
            held,
        };
        let is_head_request = request.head.method.as_ref() == b"HEAD";
        let keep_alive = request.head.keep_alive;
        self.is_closing |= !keep_alive;
        let context = self.context.clone();
        // A request that arrives this late could not complete before the process exits.
        let task = if *self.phase.borrow() == Phase::Closing {
            actix_rt::spawn(async move { refuse_stopping(&context, &request, sender) })
        } else {
            actix_rt::spawn(serve(context, request, sender))
        };
        self.in_flight.push_back(InFlight {
            reply,
            task,
            is_head_request,
            keep_alive,
        });
    }

    /// Refuses a request that could not be read, and ends the connection.
    async fn refuse(&mut self, status: u16, retry_after_ms: Option<u64>) -> End {
        let reply = Reply::Local {
            status,
            attempt_id: self.refused_id.take(),
            retry_after_ms,
        };
        match reply.encode_head(self.context.names.attempt_id, true, false) {
            Ok(bytes) if self.write_unheld(&bytes).await => End::Finished,
            Ok(_) | Err(_) => End::Disconnected,
        }
    }

    async fn send_reply(&mut self, front: InFlight, mut reply: Reply) -> Option<End> {
        let is_leaving = *self.phase.borrow() != Phase::Running;
        let is_last = self.in_flight.is_empty() && self.read_error.is_none();
        let close = is_last && (!front.keep_alive || is_leaving && !self.reader.is_mid_request());
        let head = reply.encode_head(self.context.names.attempt_id, close, front.is_head_request);
        let head = match head {
            Ok(head) => head.freeze(),
            Err(error) => {
                debug!("upstream response cannot be encoded for the caller: {error}");
                return Some(self.refuse(502, None).await);
            }
        };
        match &mut reply {
            Reply::Local { .. } => {
                if !self.write_unheld(&head).await {
                    return Some(End::Disconnected);
                }
            }
            Reply::Whole { response, held } => {
                let body = &response.body;
                if let Some(end) = self.write(&head, body, held).await {
                    return Some(end);
                }
            }
            Reply::Stream {
                length_bytes,
                parts,
                held,
                ..
            } => {
                if let Some(end) = self.write(&head, &[], held).await {
                    return Some(end);
                }
                let is_chunked = length_bytes.is_none();
                loop {
                    let (bytes, is_end) = match parts.recv().await {
                        Some(BodyPart::Chunk(bytes)) => (bytes, false),
                        Some(BodyPart::End) => (Bytes::new(), true),
                        None => return Some(End::Truncated),
                    };
                    let bytes = if is_chunked {
                        encode_chunk(&bytes)
                    } else {
                        bytes
                    };
                    if let Some(end) = self.write(&bytes, &[], held).await {
                        return Some(end);
                    }
                    if is_end {
                        break;
                    }
                }
            }
        }
        self.last_active_at = Instant::now();
        close.then_some(End::Finished)
    }

    /// Writes bytes for which nothing is held. Returns `false` if the caller does not accept them in
    /// time or has disconnected.
    async fn write_unheld(&mut self, bytes: &[u8]) -> bool {
        matches!(
            timeout(WRITE_TIMEOUT, self.stream.write_all(bytes)).await,
            Ok(Ok(()))
        )
    }

    /// Writes two parts of an answer. Returns how the connection ends if the caller does not accept them
    /// in time, has disconnected, or has stalled while others wait for the bytes that are held.
    async fn write(&mut self, first: &[u8], second: &[u8], held: &mut Held) -> Option<End> {
        let mut slices = [IoSlice::new(first), IoSlice::new(second)];
        let mut rest = &mut slices[..];
        IoSlice::advance_slices(&mut rest, 0);
        held.restart_meter();
        let end_at = Instant::now() + WRITE_TIMEOUT;
        while !rest.is_empty() {
            tokio::select! {
                written = self.stream.write_vectored(rest) => match written {
                    Ok(bytes) if bytes > 0 => {
                        held.record_progress(bytes);
                        IoSlice::advance_slices(&mut rest, bytes);
                    }
                    Ok(_) | Err(_) => return Some(End::Disconnected),
                },
                () = held.reclaimed(Stall::Answer) => return Some(End::Truncated),
                () = sleep_until(end_at) => return Some(End::Disconnected),
            }
        }
        held.end_wait();
        None
    }

    /// Closes the sending side, and reads until the caller has closed its own.
    async fn linger(mut self, limit: Duration) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            let mut rest = BytesMut::with_capacity(READ_BYTES);
            while matches!(self.stream.read_buf(&mut rest).await, Ok(read) if read > 0) {
                rest.clear();
            }
        };
        // If the caller does not close in time, the connection is dropped.
        drop(timeout(limit, drain).await);
    }
}

/// Returns a configured limit with the margin for the time that bytes are on their way.
fn with_margin(limit: Duration) -> Duration {
    limit + limit.max(IDLE_MARGIN_MIN)
}
