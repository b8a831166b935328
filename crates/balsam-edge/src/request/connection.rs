//! The task of one caller's connection.

use super::accept::Phase;
use super::read::{CallerRequest, ReadStep, Reader, Unreadable};
use super::reply::{Part, Reply};
use super::serve::{RequestContext, refuse_stopping, serve};
use crate::clock::now;
use balsam_http1::encode_chunk;
use balsam_types::CallerLimits;
use bytes::{Bytes, BytesMut};
use log::debug;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout};

/// Requests of one connection that are served at once; further ones stay unread.
const PIPELINE_MAX: usize = 8;

/// Bytes of requests that wait for their turn; further ones stay in the socket.
const READ_AHEAD_MAX_BYTES: usize = 64 << 10;

/// Bytes that are read at once.
const READ_BYTES: usize = 4 << 10;

/// How long a caller may take no bytes of its answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// How much longer than the limit a connection may be idle, at least; a long limit is doubled.
///
/// Callers count from when they have the last answer, and their next request is under way for a
/// while. On a full link the answer alone takes several seconds, and a request that crosses the
/// close is lost.
const IDLE_MARGIN_MIN: Duration = Duration::from_secs(5);

/// How long bytes that have arrived are awaited before an idle connection is closed.
const LAST_LOOK: Duration = Duration::from_millis(5);

/// How long a closed connection is still read, so that unread bytes do not reset it before the
/// caller has its answer.
const LINGER: Duration = Duration::from_millis(500);

/// A request in flight; dropping it ends the request.
#[derive(Debug)]
struct InFlight {
    reply: oneshot::Receiver<Reply>,
    task: JoinHandle<()>,
    to_head: bool,
    keep_alive: bool,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The caller has closed or reset it.
    CallerLeft,
    /// The last answer said that it closes.
    Finished,
    /// Nothing happened on it for too long.
    Idle,
    /// An answer was cut short, which only the end of the connection can tell.
    CutShort,
}

/// One caller's connection.
#[derive(Debug)]
pub(super) struct CallerConnection {
    stream: TcpStream,
    context: RequestContext,
    phase: watch::Receiver<Phase>,
    buffer: BytesMut,
    reader: Reader,
    in_flight: VecDeque<InFlight>,
    /// A refusal of a request that could not be read; it is answered last.
    unreadable: Option<Unreadable>,
    active_at: Instant,
    /// Whether no further request is read.
    is_closing: bool,
}

impl CallerConnection {
    /// Makes the task of an accepted connection.
    pub(super) fn new(
        stream: TcpStream,
        context: RequestContext,
        phase: watch::Receiver<Phase>,
    ) -> Self {
        Self {
            stream,
            context,
            phase,
            buffer: BytesMut::new(),
            reader: Reader::default(),
            in_flight: VecDeque::new(),
            unreadable: None,
            active_at: Instant::now(),
            is_closing: false,
        }
    }

    /// Serves the connection until it ends.
    pub(super) async fn run(mut self) {
        if let Err(error) = self.stream.set_nodelay(true) {
            debug!("caller's connection: {error}");
        }
        let end = self.serve().await;
        // Requests in flight end with the connection.
        self.in_flight.clear();
        match end {
            End::CallerLeft => {}
            End::CutShort => {
                // The connection may not look as if it ended in order.
                let reference = socket2::SockRef::from(&self.stream);
                if let Err(error) = reference.set_linger(Some(Duration::ZERO)) {
                    debug!("caller's connection: {error}");
                }
            }
            End::Finished | End::Idle => self.linger().await,
        }
    }

    async fn serve(&mut self) -> End {
        loop {
            if let Some(end) = self.take_requests().await {
                return end;
            }
            let limits = self.limits();
            let is_idle = self.in_flight.is_empty();
            let wait = if self.reader.is_inside() || !self.buffer.is_empty() {
                Duration::from_millis(limits.header_timeout_ms)
            } else {
                let limit = Duration::from_millis(limits.idle_timeout_ms);
                limit + limit.max(IDLE_MARGIN_MIN)
            };
            let idle_at = self.active_at + wait;
            let has_space = self.buffer.len() < READ_AHEAD_MAX_BYTES;
            let phase_now = *self.phase.borrow();
            let is_quiet = is_idle && self.buffer.is_empty() && !self.reader.is_inside();
            if phase_now == Phase::Closing && is_quiet && !self.has_news().await {
                return End::Idle;
            }
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
                    let reply = reply.unwrap_or(Reply::own(502));
                    if let Some(end) = self.answer(front, reply).await {
                        return end;
                    }
                }
                // Reading goes on while requests are in flight, so that a caller's leaving is seen.
                ready = self.stream.readable(), if has_space => {
                    if ready.is_err() || !self.read() {
                        return End::CallerLeft;
                    }
                }
                changed = self.phase.changed() => {
                    if changed.is_err() {
                        return End::Idle;
                    }
                }
                () = sleep_until(idle_at), if is_idle => {
                    if self.has_news().await {
                        continue;
                    }
                    if self.reader.is_inside() || !self.buffer.is_empty() {
                        return self.refuse(408).await;
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

    /// Returns whether another request is taken.
    ///
    /// A daemon that leaves answers what it has taken, and the last answer closes the connection;
    /// requests that follow it count as unread and are sent again elsewhere.
    fn wants_more(&self) -> bool {
        let is_open = match *self.phase.borrow() {
            Phase::Running => true,
            Phase::Leaving | Phase::Closing => self.in_flight.is_empty(),
        };
        let has_room = self.in_flight.len() < PIPELINE_MAX;
        is_open && has_room && !self.is_closing && self.unreadable.is_none()
    }

    /// Reads what has arrived; returns `false` if the caller has left.
    fn read(&mut self) -> bool {
        self.buffer.reserve(READ_BYTES);
        match self.stream.try_read_buf(&mut self.buffer) {
            Ok(0) => false,
            Ok(_) => {
                self.active_at = Instant::now();
                true
            }
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
        }
    }

    /// Reads what has arrived before the connection is closed; returns whether there was anything.
    ///
    /// A daemon that was busy or frozen may learn of the end of the idle time before it learns of
    /// the bytes, although they came first.
    async fn has_news(&mut self) -> bool {
        let known_bytes = self.buffer.len();
        let is_readable = timeout(LAST_LOOK, self.stream.readable()).await.is_ok();
        is_readable && self.read() && self.buffer.len() > known_bytes
    }

    /// Starts serving the requests that have arrived.
    async fn take_requests(&mut self) -> Option<End> {
        while self.wants_more() {
            let limits = self.limits();
            match self.reader.step(now(), &mut self.buffer, limits) {
                Ok(ReadStep::Need) => break,
                Ok(ReadStep::Continue) => {
                    if self.in_flight.is_empty() {
                        let leave = Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n");
                        if !self.write(&leave).await {
                            return Some(End::CallerLeft);
                        }
                    }
                }
                Ok(ReadStep::Request(request)) => self.start(*request),
                Err(unreadable) => self.unreadable = Some(unreadable),
            }
        }
        match self.unreadable {
            Some(unreadable) if self.in_flight.is_empty() => {
                Some(self.refuse(unreadable.status()).await)
            }
            _ => None,
        }
    }

    fn start(&mut self, request: CallerRequest) {
        let (sender, reply) = oneshot::channel();
        let to_head = request.head.method.as_ref() == b"HEAD";
        let keep_alive = request.head.keep_alive;
        self.is_closing |= !keep_alive;
        let context = self.context.clone();
        // A request that comes this late could not end before the process does.
        let task = if *self.phase.borrow() == Phase::Closing {
            actix_rt::spawn(async move { refuse_stopping(&context, &request, sender) })
        } else {
            actix_rt::spawn(serve(context, request, sender))
        };
        self.in_flight.push_back(InFlight {
            reply,
            task,
            to_head,
            keep_alive,
        });
    }

    /// Answers a request that could not be read, and ends the connection.
    async fn refuse(&mut self, status: u16) -> End {
        match Reply::own(status).encode(self.context.names.attempt_id, true, false) {
            Ok(bytes) if self.write(&bytes).await => End::Finished,
            Ok(_) | Err(_) => End::CallerLeft,
        }
    }

    async fn answer(&mut self, front: InFlight, mut reply: Reply) -> Option<End> {
        let is_leaving = *self.phase.borrow() != Phase::Running;
        let is_last = self.in_flight.is_empty() && self.unreadable.is_none();
        let close = is_last && (!front.keep_alive || is_leaving && !self.reader.is_inside());
        let head = reply.encode(self.context.names.attempt_id, close, front.to_head);
        let head = match head {
            Ok(head) => head.freeze(),
            Err(error) => {
                debug!("answer not passed on: {error}");
                return Some(self.refuse(502).await);
            }
        };
        if !self.write(&head).await {
            return Some(End::CallerLeft);
        }
        if let Reply::Stream {
            length_bytes,
            parts,
            ..
        } = &mut reply
        {
            let is_chunked = length_bytes.is_none();
            loop {
                let (bytes, is_end) = match parts.recv().await {
                    Some(Part::Chunk(bytes)) => (bytes, false),
                    Some(Part::End) => (Bytes::new(), true),
                    None => return Some(End::CutShort),
                };
                let bytes = if is_chunked {
                    encode_chunk(&bytes)
                } else {
                    bytes
                };
                if !self.write(&bytes).await {
                    return Some(End::CallerLeft);
                }
                if is_end {
                    break;
                }
            }
        }
        self.active_at = Instant::now();
        close.then_some(End::Finished)
    }

    /// Writes bytes; returns `false` if the caller does not take them.
    async fn write(&mut self, bytes: &[u8]) -> bool {
        matches!(
            timeout(WRITE_TIMEOUT, self.stream.write_all(bytes)).await,
            Ok(Ok(()))
        )
    }

    /// Closes the sending side and reads until the caller has closed its own.
    async fn linger(mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            let mut rest = BytesMut::with_capacity(READ_BYTES);
            while matches!(self.stream.read_buf(&mut rest).await, Ok(read) if read > 0) {
                rest.clear();
            }
        };
        // A caller that does not close is cut off.
        drop(timeout(LINGER, drain).await);
    }
}
