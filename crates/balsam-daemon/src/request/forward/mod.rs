//! The filter that sends a request to the upstream and reads the answer.
//!
//! A forward task owns one connection for the length of one request, and hands it back to the
//! dispatch task only if the request and its answer are complete.

mod body;
mod connection;
mod exchange;
mod http1;
mod permit;
mod write;

pub(crate) use connection::UpstreamConnection;
pub(crate) use permit::SendPermit;

use super::message::{Answer, Attempt, AttemptResult, BODY_PARTS, Failure};
use super::quarantine::Crashes;
use balsam_decide::dispatch::SlotResult;
use balsam_types::{NotRunReason, RequestHead, TimeMs, UnknownReason};
use exchange::{Ended, Started};
use http::Method;
use tokio::sync::{mpsc, oneshot};

/// A request that got its slot.
#[derive(Debug)]
pub(crate) struct ForwardJob {
    /// The request.
    pub(crate) attempt: Attempt,
    /// Where the answer goes; closed when the caller goes away.
    pub(crate) reply: oneshot::Sender<AttemptResult>,
    /// An idle connection, if there is one.
    pub(crate) connection: Option<UpstreamConnection>,
    /// Whether the request may be sent.
    pub(crate) permit: SendPermit,
    /// Where broken connections are reported.
    pub(crate) crashes: Crashes,
    /// When the upstream was last known to run.
    pub(crate) alive_at: TimeMs,
}

/// A request that gives its slot back.
#[derive(Debug)]
pub(crate) struct ForwardDone {
    /// How the request left its slot.
    pub(crate) result: SlotResult,
    /// The connection, if it can be used again.
    pub(crate) connection: Option<UpstreamConnection>,
}

/// Serves one request.
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
        // Dropping the exchange closes its connection, which cancels the request upstream.
        () = reply.closed() => return done(SlotResult::Failed, None),
    };
    match started {
        Ok(started) => {
            let (parts, body) = mpsc::channel(BODY_PARTS);
            let Started { head, reading } = started;
            let answer = Answer {
                head,
                upstream,
                body,
            };
            if reply.send(Ok(answer)).is_err() {
                return done(SlotResult::Failed, None);
            }
            let connection = tokio::select! {
                connection = reading.stream_to(parts) => connection,
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
            // The crash is reported first, so that it counts before the request comes again. A
            // process that has not run since the last crash cannot have crashed again: something
            // else accepts connections at its address and closes them.
            if let Some(sent_at) = crashed {
                crashes.report(service, fingerprint, sent_at.min(alive_at));
            }
            // The caller may have gone away.
            drop(reply.send(Err(failure)));
            done(result, connection)
        }
    }
}

/// Returns whether a request may be sent to another upstream although this one may run it.
fn is_idempotent(head: &RequestHead) -> bool {
    let method = Method::from_bytes(head.method.as_bytes());
    head.order_id.is_none() && method.is_ok_and(|method| method.is_idempotent())
}
