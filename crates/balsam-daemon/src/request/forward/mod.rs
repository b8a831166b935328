//! The filter that sends a request to the upstream and reads the answer.
//!
//! A forward task owns one connection for the duration of one request. It returns the connection to
//! the dispatch task only if both the request and its answer are complete.

mod body;
mod connection;
mod exchange;
mod http1;
mod permit;
mod write;

pub(crate) use connection::UpstreamConnection;
pub(crate) use permit::SendPermit;

use super::message::{Answer, Attempt, AttemptResult, BODY_PART_CAPACITY, Failure};
use super::quarantine::CrashReporter;
use balsam_decide::dispatch::SlotResult;
use balsam_types::{NotRunReason, RequestHead, TimeMs, UnknownReason};
use exchange::{Ended, Started};
use http::Method;
use tokio::sync::{mpsc, oneshot};

/// A request that was assigned a slot.
#[derive(Debug)]
pub(crate) struct ForwardJob {
    pub(crate) attempt: Attempt,
    /// Receives the result. The channel closes when the caller disconnects.
    pub(crate) reply: oneshot::Sender<AttemptResult>,
    /// An idle connection to reuse, if there is one.
    pub(crate) connection: Option<UpstreamConnection>,
    /// Checks whether the request may be sent.
    pub(crate) permit: SendPermit,
    /// The reporter for requests that broke their upstream connections.
    pub(crate) crashes: CrashReporter,
    /// The time at which the upstream was last known to run.
    pub(crate) alive_at: TimeMs,
}

/// The result of a request that releases its slot.
#[derive(Debug)]
pub(crate) struct ForwardDone {
    /// The result to report for the slot.
    pub(crate) result: SlotResult,
    /// The connection, if it can be reused.
    pub(crate) connection: Option<UpstreamConnection>,
}

/// Forwards one request and its answer.
pub(crate) async fn run(job: ForwardJob) -> ForwardDone {
    let ForwardJob {
        attempt,
        mut reply,
        connection,
        permit,
        crashes,
        alive_at,
    } = job;
    let service = attempt.request.head.service.clone();
    let fingerprint = attempt.request.fingerprint;
    let upstream = attempt.request.upstream.clone();
    let done = |result, connection| ForwardDone { result, connection };
    let is_idempotent = is_idempotent(&attempt.request.head);
    let started = tokio::select! {
        started = exchange::start(attempt, connection, &permit) => started,
        () = permit.upstream_lost(), if is_idempotent => {
            Err(Failure::Unknown(UnknownReason::UpstreamLost).into())
        }
        // Dropping the exchange closes its connection, which cancels the request at the upstream.
        () = reply.closed() => return done(SlotResult::Failed, None),
    };
    match started {
        Ok(started) => {
            let (parts, body) = mpsc::channel(BODY_PART_CAPACITY);
            let Started { head, reader } = started;
            let answer = Answer {
                head,
                upstream,
                body,
            };
            if reply.send(Ok(answer)).is_err() {
                return done(SlotResult::Failed, None);
            }
            let connection = tokio::select! {
                connection = reader.stream_to(parts) => connection,
                () = permit.upstream_lost(), if is_idempotent => None,
            };
            done(SlotResult::Served, connection)
        }
        Err(Ended {
            failure,
            connection,
            crashed,
        }) => {
            let result = match failure {
                Failure::NotRun(NotRunReason::Shed) => SlotResult::Shed,
                _ => SlotResult::Failed,
            };
            // The crash is reported before the result, so that it counts before the request is
            // retried. An upstream that has not been running since its last crash cannot have
            // crashed again. In that case something else accepts and closes connections at its
            // address, so the time is limited to `alive_at`.
            if let Some(sent_at) = crashed {
                crashes.report(service, fingerprint, sent_at.min(alive_at));
            }
            // The send fails if the caller has disconnected.
            drop(reply.send(Err(failure)));
            done(result, connection)
        }
    }
}

/// Returns whether a request may be sent to another upstream even if this one may still run it.
fn is_idempotent(head: &RequestHead) -> bool {
    let method = Method::from_bytes(head.method.as_bytes());
    head.order_id.is_none() && method.is_ok_and(|method| method.is_idempotent())
}
