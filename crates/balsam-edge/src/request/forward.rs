//! The filter that sends a request to an upstream and judges the answer.

use super::HeaderNames;
use super::reply::{Part, Reply};
use super::route::Routed;
use crate::clock::{instant_at, now};
use crate::http::{Connection, ExchangeError, Sent};
use crate::pool::Lease;
use balsam_decide::pool::Verdict;
use balsam_http1::{BodyDecoder, Fields, Framing, ParsedResponseHead, encode_request};
use balsam_types::TimeMs;
use bytes::{Bytes, BytesMut};
use log::debug;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout_at;

/// Bytes of an answer that are collected before any goes to the caller.
///
/// A collected answer that is cut short can be asked for again without the caller noticing.
const COLLECT_MAX_BYTES: usize = 256 << 10;

/// Parts of a body that wait for a slow caller.
const PARTS_WAITING: usize = 2;

/// The time for opening a connection; a caller allows about as long.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Answers to earlier requests that are skipped on one connection.
const STRAY_ANSWERS_MAX: u32 = 2;

/// An attempt that has ended.
#[derive(Debug)]
pub(super) struct Ended {
    pub(super) verdict: Verdict,
    /// The upstream's whole answer, if it can be passed on.
    pub(super) reply: Option<Reply>,
    /// The time until there was a connection on which to send.
    pub(super) opened_ms: u64,
    pub(super) took_ms: u64,
}

/// How an attempt goes on.
#[derive(Debug)]
pub(super) enum Forwarded {
    /// The attempt has ended.
    Ended(Ended),
    /// The start of a long answer is there.
    Streaming(Box<Streaming>),
}

/// A long answer that is passed on while it arrives.
#[derive(Debug)]
pub(super) struct Streaming {
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
pub(super) async fn forward(names: &HeaderNames, routed: &Routed, mut lease: Lease) -> Forwarded {
    let started_at = now();
    let idle = lease.idle.take();
    let idle = idle.filter(|idle| !idle.has_refused(&routed.attempt_id));
    let opened_ms = Cell::new(0);
    let end = |lease: Lease, verdict, reply, connection| {
        let opened_ms = opened_ms.get();
        let took_ms = now().since(started_at);
        lease.end(verdict, took_ms, connection);
        Forwarded::Ended(Ended {
            verdict,
            reply,
            opened_ms,
            took_ms,
        })
    };
    let mut connection = match idle {
        Some(connection) => connection,
        None => match open(routed, &lease).await {
            Ok(connection) => connection,
            Err(error) => {
                debug!(
                    "{} to {}: {error}",
                    routed.attempt_id, lease.upstream.entry.name
                );
                return end(lease, Verdict::Unreachable, None, None);
            }
        },
    };
    opened_ms.set(now().since(started_at));
    let left_ms = routed.deadline.since(now());
    let Some(bytes) = encode(names, routed, &lease, left_ms) else {
        return end(lease, Verdict::Dropped, None, Some(connection));
    };
    let mut progress = Progress::default();
    let exchange = exchange(names, routed, &mut connection, &bytes, &mut progress);
    let (head, body) = match timeout_at(instant_at(routed.deadline), exchange).await {
        Err(_) => {
            connection.reset();
            return end(lease, Verdict::TimedOut, None, None);
        }
        Ok(Err(error)) => {
            debug!(
                "{} at {}: {error}",
                routed.attempt_id, lease.upstream.entry.name
            );
            let verdict = match progress {
                Progress {
                    sent: Sent::Nothing,
                    ..
                } => Verdict::Unreachable,
                Progress {
                    sent: Sent::Whole,
                    has_head: false,
                } if error.has_ended() && !connection.has_unread() => Verdict::Reset,
                Progress { .. } => Verdict::Broken,
            };
            connection.reset();
            return end(lease, verdict, None, None);
        }
        Ok(Ok(answer)) => answer,
    };
    let keep = head.keep_alive && progress.sent == Sent::Whole;
    match body {
        Collected::Whole(body) => {
            let verdict = judge(names, &head, &lease);
            let keep = keep
                && !connection.has_unread()
                && (!verdict.is_refusal() || connection.record_refusal(&routed.attempt_id));
            let connection = (keep && connection.rest()).then_some(connection);
            let reply = Reply::Whole {
                status: head.status,
                fields: head.fields,
                body,
            };
            let is_own = matches!(verdict, Verdict::Served | Verdict::Failed);
            end(lease, verdict, is_own.then_some(reply), connection)
        }
        Collected::Start(start, length_bytes) => {
            let verdict = judge(names, &head, &lease);
            if verdict != Verdict::Served {
                connection.reset();
                return end(lease, verdict, None, None);
            }
            Forwarded::Streaming(Box::new(Streaming {
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

impl Streaming {
    /// Returns the reply and the task that feeds it.
    pub(super) fn split(self: Box<Self>) -> (Reply, impl Future<Output = Ended>) {
        let (sender, parts) = mpsc::channel(PARTS_WAITING);
        let reply = Reply::Stream {
            status: self.status,
            fields: self.fields.clone(),
            length_bytes: self.length_bytes,
            parts,
        };
        (reply, self.feed(sender))
    }

    async fn feed(self: Box<Self>, sender: mpsc::Sender<Part>) -> Ended {
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
        let pass_on = async {
            let mut next = Some(start);
            while let Some(bytes) = next {
                if sender.send(Part::Chunk(bytes)).await.is_err() {
                    return Verdict::Dropped;
                }
                next = match connection.chunk(&mut decoder).await {
                    Ok(chunk) => chunk,
                    Err(error) => {
                        debug!("answer cut short: {error}");
                        return Verdict::Broken;
                    }
                };
            }
            // A caller that left needs no end.
            drop(sender.send(Part::End).await);
            Verdict::Served
        };
        let passed = timeout_at(instant_at(until), pass_on).await;
        let verdict = passed.unwrap_or(Verdict::TimedOut);
        let took_ms = now().since(started_at);
        let is_whole = verdict == Verdict::Served && keep && !connection.has_unread();
        let connection = (is_whole && connection.rest()).then_some(connection);
        lease.end(verdict, took_ms, connection);
        Ended {
            verdict,
            reply: None,
            opened_ms: 0,
            took_ms,
        }
    }
}

async fn open(routed: &Routed, lease: &Lease) -> Result<Connection, ExchangeError> {
    let left = Duration::from_millis(routed.deadline.since(now()));
    Connection::open(lease.upstream.entry.address, CONNECT_TIMEOUT.min(left)).await
}

fn encode(names: &HeaderNames, routed: &Routed, lease: &Lease, left_ms: u64) -> Option<BytesMut> {
    let head = &routed.request.head;
    let body = &routed.request.body;
    let replaced = [names.deadline_ms, names.expected_upstream, "expect"];
    let kept = head.fields.end_to_end().filter(|field| {
        !replaced
            .iter()
            .any(|name| field.name.eq_ignore_ascii_case(name.as_bytes()))
    });
    let deadline = left_ms.to_string();
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
        Ok(mut bytes) => {
            bytes.extend_from_slice(body);
            Some(bytes)
        }
        Err(error) => {
            debug!("{}: {error}", routed.attempt_id);
            None
        }
    }
}

/// How far an exchange has come.
#[derive(Clone, Copy, Debug)]
struct Progress {
    sent: Sent,
    /// Whether the head of an answer was read.
    has_head: bool,
}

impl Default for Progress {
    fn default() -> Self {
        Self {
            sent: Sent::Nothing,
            has_head: false,
        }
    }
}

/// The part of a body that was collected.
enum Collected {
    /// The whole body.
    Whole(Bytes),
    /// The start of a longer one, with the length of the whole if it is known.
    Start(Bytes, Option<u64>),
}

async fn exchange(
    names: &HeaderNames,
    routed: &Routed,
    connection: &mut Connection,
    bytes: &[u8],
    progress: &mut Progress,
) -> Result<(ParsedResponseHead, Collected), ExchangeError> {
    let to_head = routed.request.head.method.as_ref() == b"HEAD";
    let sent = &mut progress.sent;
    let mut head = connection.start(bytes, to_head, sent).await?;
    progress.has_head = true;
    let mut strays = 0;
    // An answer to an earlier request may arrive late; its id tells it apart.
    while head.fields.text(names.attempt_id) != Some(&routed.attempt_id) {
        let is_named = head.fields.get(names.attempt_id).is_some();
        if !is_named && connection.is_unused() {
            break;
        }
        strays += 1;
        if !is_named || strays > STRAY_ANSWERS_MAX || !head.keep_alive {
            return Err(ExchangeError::Mismatched);
        }
        connection.body(&mut head.body, COLLECT_MAX_BYTES).await?;
        head = connection.next_head(to_head).await?;
    }
    let length_bytes = match head.body {
        BodyDecoder::Length { left_bytes } => Some(left_bytes),
        BodyDecoder::Chunked(_) | BodyDecoder::UntilClose => None,
    };
    let mut body = BytesMut::new();
    while let Some(chunk) = connection.chunk(&mut head.body).await? {
        if body.is_empty() {
            body = BytesMut::from(chunk);
        } else {
            body.extend_from_slice(&chunk);
        }
        if body.len() > COLLECT_MAX_BYTES {
            return Ok((head, Collected::Start(body.freeze(), length_bytes)));
        }
    }
    Ok((head, Collected::Whole(body.freeze())))
}

/// Says what an answer means.
fn judge(names: &HeaderNames, head: &ParsedResponseHead, lease: &Lease) -> Verdict {
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
        // A success that is not proven to be the upstream's own may be another's answer.
        200..=299 => Verdict::Broken,
        _ if is_plain => Verdict::Failed,
        _ => Verdict::Broken,
    }
}
