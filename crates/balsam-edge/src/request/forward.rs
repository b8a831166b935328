//! The filter that sends a request to an upstream and classifies the response.

use super::HeaderNames;
use super::reply::{BodyPart, Reply, WholeResponse};
use super::route::RoutedRequest;
use super::serve::RequestContext;
use crate::clock::{instant_at, now};
use crate::http::{Connection, ExchangeError, Sent};
use crate::memory::Held;
use crate::pool::Lease;
use balsam_decide::evacuation::ZoneStanding;
use balsam_decide::memory::Purpose;
use balsam_decide::pool::{EndReport, Verdict};
use balsam_http1::{BodyDecoder, Fields, Framing, ParsedResponseHead, encode_request};
use balsam_types::{TimeMs, UpstreamState};
use bytes::{Bytes, BytesMut};
use log::debug;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout_at};

/// Upper limit on the bytes of a response that are buffered before any are sent to the caller.
///
/// A buffered response that is truncated can be requested again without the caller noticing.
const BUFFER_MAX_BYTES: usize = 256 << 10;

/// Bytes that a longer response holds: its buffered start, and behind it the chunks that are queued,
/// being read and being written.
const LONG_RESPONSE_BYTES: usize = 2 * BUFFER_MAX_BYTES;

/// Pause before a reservation is repeated that the task of the memory budget could not take.
const RESERVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Number of chunks of a body that are queued for a slow caller.
const CHUNKS_QUEUED_MAX: usize = 2;

/// Time limit for opening a connection. Callers of this daemon use about the same limit.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time in which the reset of a connection arrives that the upstream does not take: a round trip
/// between zones, and the time that a busy upstream needs.
const RESET_ARRIVAL_TIME: Duration = Duration::from_millis(8);

/// Number of responses to earlier requests that are skipped in one exchange.
const STALE_RESPONSES_MAX: u32 = 2;

/// Outcome of an attempt that has ended.
#[derive(Debug)]
pub(super) struct AttemptEnded {
    pub(super) verdict: Verdict,
    /// The complete response of the upstream, if it may be sent to the caller.
    pub(super) reply: Option<WholeResponse>,
    /// Time until a connection was available, in milliseconds.
    pub(super) opened_ms: u64,
    pub(super) took_ms: u64,
}

/// State of an attempt once the response or its start has arrived.
#[derive(Debug)]
pub(super) enum ForwardOutcome {
    /// The attempt has ended.
    AttemptEnded(AttemptEnded),
    /// The start of a long response has arrived.
    StreamingResponse(Box<StreamingResponse>),
}

/// A long response that is forwarded while it arrives.
#[derive(Debug)]
pub(super) struct StreamingResponse {
    lease: Lease,
    connection: Connection,
    status: u16,
    fields: Fields,
    decoder: BodyDecoder,
    length_bytes: Option<u64>,
    start: Bytes,
    started_at: TimeMs,
    until: TimeMs,
    keep: bool,
}

/// Sends a request to the upstream of a lease.
pub(super) async fn forward(
    context: &RequestContext,
    routed: &RoutedRequest,
    memory: &mut Held,
    mut lease: Lease,
) -> ForwardOutcome {
    let names = &context.names;
    let started_at = now();
    let idle = lease.idle.take();
    let idle = idle.filter(|idle| !idle.has_refused(&routed.attempt_id));
    let opened_ms = Cell::new(0);
    let end = |lease: Lease, verdict, reply, connection| {
        let opened_ms = opened_ms.get();
        let took_ms = now().since(started_at);
        lease.end(verdict, took_ms, connection);
        ForwardOutcome::AttemptEnded(AttemptEnded {
            verdict,
            reply,
            opened_ms,
            took_ms,
        })
    };
    let mut connection = match connect(context, routed, &lease, idle).await {
        Ok(connection) => connection,
        Err(verdict) => return end(lease, verdict, None, None),
    };
    opened_ms.set(now().since(started_at));
    if !context.freshness.pass(routed.deadline).await {
        return end(lease, Verdict::Dropped, None, Some(connection));
    }
    if lease.is_withdrawn() || !is_listed(context, &lease) || is_evacuated(context, routed, &lease)
    {
        return end(lease, Verdict::Withdrawn, None, Some(connection));
    }
    let remaining_ms = routed.deadline.since(now());
    let Some(request_head) = encode_head(names, routed, &lease, remaining_ms) else {
        return end(lease, Verdict::Dropped, None, Some(connection));
    };
    let mut progress = Progress::default();
    let exchange = exchange(
        context,
        routed,
        memory,
        &lease,
        &mut connection,
        &request_head,
        &mut progress,
    );
    let (head, body) = match timeout_at(instant_at(routed.deadline), exchange).await {
        Err(_) => {
            connection.reset();
            return end(lease, Verdict::TimedOut, None, None);
        }
        Ok(Err(error)) => {
            debug!(
                "request {}: exchange with {} failed: {error}",
                routed.attempt_id, lease.upstream.entry.name
            );
            let verdict = progress.verdict(&error, &connection);
            connection.reset();
            return end(lease, verdict, None, None);
        }
        Ok(Ok(response)) => response,
    };
    let keep = head.keep_alive && progress.sent == Sent::Whole;
    match body {
        BufferedBody::Whole(body) => {
            let verdict = classify_response(names, &head, &lease);
            let keep = keep
                && !connection.has_unread()
                && (!verdict.is_refusal() || connection.record_refusal(&routed.attempt_id));
            let connection = (keep && connection.rest()).then_some(connection);
            let reply = WholeResponse {
                status: head.status,
                fields: head.fields,
                body,
            };
            let is_deliverable = matches!(verdict, Verdict::Served | Verdict::Failed);
            end(lease, verdict, is_deliverable.then_some(reply), connection)
        }
        BufferedBody::Start(start, length_bytes) => {
            let verdict = classify_response(names, &head, &lease);
            if verdict != Verdict::Served {
                connection.reset();
                return end(lease, verdict, None, None);
            }
            ForwardOutcome::StreamingResponse(Box::new(StreamingResponse {
                lease,
                connection,
                status: head.status,
                fields: head.fields,
                decoder: head.body,
                length_bytes,
                start,
                started_at,
                until: routed.caller_deadline,
                keep,
            }))
        }
    }
}

impl StreamingResponse {
    /// Returns the reply, and the future that supplies its body.
    pub(super) fn split(
        self: Box<Self>,
        held: Held,
    ) -> (Reply, impl Future<Output = AttemptEnded>) {
        let (sender, parts) = mpsc::channel(CHUNKS_QUEUED_MAX);
        let reply = Reply::Stream {
            status: self.status,
            fields: self.fields.clone(),
            length_bytes: self.length_bytes,
            parts,
            held: Box::new(held),
        };
        (reply, self.feed(sender))
    }

    async fn feed(self: Box<Self>, sender: mpsc::Sender<BodyPart>) -> AttemptEnded {
        let Self {
            lease,
            mut connection,
            mut decoder,
            start,
            started_at,
            until,
            keep,
            ..
        } = *self;
        let stream_body = async {
            let mut next = Some(start);
            while let Some(bytes) = next {
                if sender.send(BodyPart::Chunk(bytes)).await.is_err() {
                    return Verdict::Dropped;
                }
                next = match connection.chunk(&mut decoder).await {
                    Ok(chunk) => chunk,
                    Err(error) => {
                        debug!("upstream response truncated: {error}");
                        return Verdict::Broken;
                    }
                };
            }
            // The caller may have disconnected, in which case the end is not needed.
            drop(sender.send(BodyPart::End).await);
            Verdict::Served
        };
        let streamed = timeout_at(instant_at(until), stream_body).await;
        let verdict = streamed.unwrap_or(Verdict::TimedOut);
        let took_ms = now().since(started_at);
        let is_whole = verdict == Verdict::Served && keep && !connection.has_unread();
        let connection = (is_whole && connection.rest()).then_some(connection);
        lease.end(verdict, took_ms, connection);
        AttemptEnded {
            verdict,
            reply: None,
            opened_ms: 0,
            took_ms,
        }
    }
}

/// Returns whether the upstream of a lease still takes requests by the newest list.
fn is_listed(context: &RequestContext, lease: &Lease) -> bool {
    let view = context.views.borrow();
    let leased = &lease.upstream.entry;
    view.upstreams.get(&leased.name).is_some_and(|known| {
        let is_ready = known.entry.state == UpstreamState::Ready;
        known.entry.born == leased.born && (is_ready || known.entry.state == leased.state)
    })
}

/// Returns whether the zone of a lease's upstream has been evacuated, so that the request must not be
/// sent there.
fn is_evacuated(context: &RequestContext, routed: &RoutedRequest, lease: &Lease) -> bool {
    let view = context.views.borrow();
    let zone = &lease.upstream.entry.zone;
    match view.evacuated.standing(now(), zone) {
        ZoneStanding::Open => false,
        ZoneStanding::OwnersOnly => {
            let table = view.table.as_ref();
            let policy = table.and_then(|table| table.service(&lease.service));
            let has_owner = routed.key.is_some() && policy.is_some_and(|policy| policy.is_keyed);
            !has_owner
        }
        ZoneStanding::Closed => true,
    }
}

/// Returns the idle connection, or opens one that may carry the request.
async fn connect(
    context: &RequestContext,
    routed: &RoutedRequest,
    lease: &Lease,
    idle: Option<Connection>,
) -> Result<Connection, Verdict> {
    if let Some(idle) = idle {
        return Ok(idle);
    }
    let opened = open(routed, lease).await;
    let connection = opened.map_err(|error| {
        debug!(
            "request {}: cannot connect to {}: {error}",
            routed.attempt_id, lease.upstream.entry.name
        );
        Verdict::Unreachable
    })?;
    if context.memory.is_limited() {
        connection.limit_buffers();
    }
    if lease.resets_connections && !connection.settle(RESET_ARRIVAL_TIME).await {
        return Err(Verdict::Surplus);
    }
    Ok(connection)
}

async fn open(routed: &RoutedRequest, lease: &Lease) -> Result<Connection, ExchangeError> {
    let remaining = Duration::from_millis(routed.deadline.since(now()));
    Connection::open(lease.upstream.entry.address, CONNECT_TIMEOUT.min(remaining)).await
}

fn encode_head(
    names: &HeaderNames,
    routed: &RoutedRequest,
    lease: &Lease,
    remaining_ms: u64,
) -> Option<BytesMut> {
    let head = &routed.request.head;
    let body = &routed.request.body;
    let replaced = [names.deadline_ms, names.expected_upstream, "expect"];
    let kept = head.fields.end_to_end().filter(|field| {
        !replaced
            .iter()
            .any(|name| field.name.eq_ignore_ascii_case(name.as_bytes()))
    });
    let deadline = remaining_ms.to_string();
    let added = [
        (names.deadline_ms, deadline.as_str()),
        (names.expected_upstream, lease.upstream.entry.name.as_str()),
    ];
    let has_body = !body.is_empty() || head.fields.get("content-length").is_some();
    let framing = if has_body {
        Framing::Length(body.len() as u64)
    } else {
        Framing::None
    };
    match encode_request(&head.method, &head.target, kept, &added, framing) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            debug!(
                "request {}: cannot be encoded for the upstream: {error}",
                routed.attempt_id
            );
            None
        }
    }
}

/// Progress of an exchange.
#[derive(Clone, Copy, Debug)]
struct Progress {
    sent: Sent,
    /// Whether the head of a response was read.
    has_head: bool,
}

impl Progress {
    /// Classifies an exchange that failed.
    fn verdict(self, error: &ExchangeError, connection: &Connection) -> Verdict {
        match self {
            Self {
                sent: Sent::Nothing,
                ..
            } => Verdict::Unreachable,
            Self {
                sent: Sent::Whole,
                has_head: false,
            } if error.has_ended() && !connection.has_unread() => Verdict::Reset,
            Self { .. } => Verdict::Broken,
        }
    }
}

impl Default for Progress {
    fn default() -> Self {
        Self {
            sent: Sent::Nothing,
            has_head: false,
        }
    }
}

/// Buffered part of a body.
enum BufferedBody {
    /// The whole body.
    Whole(Bytes),
    /// The start of a longer body, with the total length if it is known.
    Start(Bytes, Option<u64>),
}

async fn exchange(
    context: &RequestContext,
    routed: &RoutedRequest,
    memory: &mut Held,
    lease: &Lease,
    connection: &mut Connection,
    request_head: &[u8],
    progress: &mut Progress,
) -> Result<(ParsedResponseHead, BufferedBody), ExchangeError> {
    let names = &context.names;
    let is_head_request = routed.request.head.method.as_ref() == b"HEAD";
    let sent = &mut progress.sent;
    let request_body = &routed.request.body;
    let mut head = connection
        .start(request_head, request_body, is_head_request, sent)
        .await?;
    progress.has_head = true;
    let mut stale_responses = 0;
    // A response to an earlier request may arrive late. Its id shows that it is not the response to
    // this request.
    while head.fields.text(names.attempt_id) != Some(&routed.attempt_id) {
        let has_id = head.fields.get(names.attempt_id).is_some();
        if !has_id && connection.is_unused() {
            break;
        }
        stale_responses += 1;
        if !has_id || stale_responses > STALE_RESPONSES_MAX || !head.keep_alive {
            return Err(ExchangeError::Mismatched);
        }
        reserve_response(memory, BUFFER_MAX_BYTES).await;
        connection.body(&mut head.body, BUFFER_MAX_BYTES).await?;
        memory.release(BUFFER_MAX_BYTES as u64);
        head = connection.next_head(is_head_request).await?;
    }
    report_notice(context, routed, lease, &head);
    let length_bytes = match head.body {
        BodyDecoder::Length { left_bytes } => Some(left_bytes),
        BodyDecoder::Chunked(_) | BodyDecoder::UntilClose => None,
    };
    let short_bytes = length_bytes.and_then(|bytes| usize::try_from(bytes).ok());
    let short_bytes = short_bytes.filter(|bytes| *bytes <= BUFFER_MAX_BYTES);
    reserve_response(memory, short_bytes.unwrap_or(LONG_RESPONSE_BYTES)).await;
    let mut body = BytesMut::new();
    while let Some(chunk) = connection.chunk(&mut head.body).await? {
        if body.is_empty() {
            body = BytesMut::from(chunk);
        } else {
            body.extend_from_slice(&chunk);
        }
        if body.len() > BUFFER_MAX_BYTES {
            return Ok((head, BufferedBody::Start(body.freeze(), length_bytes)));
        }
    }
    Ok((head, BufferedBody::Whole(body.freeze())))
}

/// Reserves bytes for a response. The request has run, so that its response waits as long as
/// the deadline allows.
async fn reserve_response(held: &mut Held, bytes: usize) {
    while held.reserve(bytes as u64, Purpose::Answer).await.is_err() {
        sleep(RESERVE_RETRY_DELAY).await;
    }
}

/// Reports what an upstream announces about itself in the head of a response, if the id shows that
/// it is the response to this request and comes from this upstream.
fn report_notice(
    context: &RequestContext,
    routed: &RoutedRequest,
    lease: &Lease,
    head: &ParsedResponseHead,
) {
    let name = lease.upstream.entry.name.as_str();
    let responder = head.fields.text(context.names.upstream);
    let has_id = head.fields.text(context.names.attempt_id) == Some(&routed.attempt_id);
    if !has_id || responder.is_some_and(|responder| responder != name) {
        return;
    }
    let read = (context.read_notice)(head.status, &head.fields);
    if let Some(field) = read.ignored {
        context
            .recorder
            .notice_ignored(&lease.upstream.entry.name, field);
    }
    lease.set_report(EndReport {
        pause_ms: read.notice.pause_ms,
        load: read.load,
    });
    lease.report_notice(read.notice);
}

/// Classifies a response.
fn classify_response(names: &HeaderNames, head: &ParsedResponseHead, lease: &Lease) -> Verdict {
    let fields = &head.fields;
    let has_signature = fields.get(names.signature).is_some();
    let is_plain = fields.get("content-encoding").is_none();
    match head.status {
        421 => match fields.text(names.upstream) {
            Some(name) if name != lease.upstream.entry.name.as_str() => Verdict::Replaced,
            _ => Verdict::NotHeld,
        },
        _ if fields.get(names.not_run).is_some() => Verdict::Shed,
        200..=299 if has_signature && is_plain => Verdict::Served,
        // A success without the upstream's signature may come from another process.
        200..=299 => Verdict::Broken,
        _ if is_plain => Verdict::Failed,
        _ => Verdict::Broken,
    }
}
