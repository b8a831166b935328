//! Passes one request through the filters.

use super::attempts::Attempts;
use super::body::BodySource;
use super::order::serve_order;
use crate::metrics::Metrics;
use crate::peer::{BodyPart, PeerClient};
use crate::request::accept::Phase;
use crate::request::admit::{Admission, AdmissionPermit, fingerprint, read_body};
use crate::request::answer::{
    AnswerBody, PartsBody, Resumable, answer_response, bodiless_size, failure_response,
    stream_resuming,
};
use crate::request::clock::now;
use crate::request::dispatch::Dispatchers;
use crate::request::identify::{Identified, identify};
use crate::request::message::{Answer, BODY_PART_CAPACITY, Failure};
use crate::request::orders::OrdersHandle;
use crate::request::record::{self, Recorder};
use crate::request::retry::Retries;
use actix_http::{ConnectionType, Payload, Request, Response};
use balsam_decide::node::View;
use balsam_types::{Fingerprint, NotRunReason, Outcome, Set, UnknownReason};
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{mpsc, watch};

/// The shared handles that the filters of a request use. Cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct EntryContext {
    /// The latest view of the control state.
    pub(crate) views: watch::Receiver<Arc<View>>,
    /// The shutdown phase of the daemon.
    pub(crate) phase: watch::Receiver<Phase>,
    /// The client for relaying requests to other daemons.
    pub(crate) peers: PeerClient,
    /// The handle to the dispatch tasks of this daemon.
    pub(crate) dispatchers: Dispatchers,
    /// The admission limits of this daemon.
    pub(crate) admission: Admission,
    /// The handle to the orders task.
    pub(crate) orders: OrdersHandle,
    /// The fingerprints of quarantined requests, which are refused.
    pub(crate) refused: watch::Receiver<Arc<Set<Fingerprint>>>,
    /// The handle to the task that owns the retry budgets.
    pub(crate) retries: Retries,
    /// The metric instruments.
    pub(crate) metrics: Metrics,
    /// The maximum size of one request's header fields, in bytes.
    pub(crate) header_max_bytes: usize,
}

/// Serves one request, and closes its connection after the answer if the daemon is shutting down.
pub(crate) async fn serve(entry: EntryContext, request: Request) -> Response<AnswerBody> {
    let phase = entry.phase.clone();
    let mut response = serve_identified(entry, request).await;
    if *phase.borrow() != Phase::Running {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

async fn serve_identified(entry: EntryContext, mut request: Request) -> Response<AnswerBody> {
    let started = Instant::now();
    let payload = request.take_payload();
    let view = Arc::clone(&entry.views.borrow());
    let identified = if view.is_ready(now()) {
        identify(&view.state, request.head(), entry.header_max_bytes)
    } else {
        Err(NotRunReason::RightLapsed)
    };
    let identified = match identified {
        Ok(identified) => identified,
        Err(reason) => {
            let outcome = Outcome::NotRun(reason);
            record::refused(request.path(), outcome);
            return failure_response(outcome);
        }
    };
    let mut recorder = Recorder::new(entry.metrics.clone(), &identified.head, started);
    match admit(&entry, &identified, payload).await {
        Ok(admitted) => route(entry, identified, admitted, recorder).await,
        Err(reason) => refuse(&mut recorder, Failure::NotRun(reason)),
    }
}

/// A request that passed admission.
struct Admitted {
    permit: AdmissionPermit,
    body: BodySource,
    fingerprint: Fingerprint,
}

async fn admit(
    entry: &EntryContext,
    identified: &Identified,
    payload: Payload,
) -> Result<Admitted, NotRunReason> {
    let permit = entry.admission.enter(identified).await?;
    let body = read_body(&entry.admission, &permit, identified, payload).await?;
    let fingerprint = fingerprint(&identified.head, body.start());
    if entry.refused.borrow().contains(&fingerprint) {
        return Err(NotRunReason::Quarantined);
    }
    Ok(Admitted {
        permit,
        body: body.into(),
        fingerprint,
    })
}

async fn route(
    entry: EntryContext,
    identified: Identified,
    admitted: Admitted,
    mut recorder: Recorder,
) -> Response<AnswerBody> {
    let Admitted {
        permit,
        body,
        fingerprint,
    } = admitted;
    let orders = entry.orders.clone();
    let mut attempts = Attempts::new(entry, identified.clone(), fingerprint, body);
    if identified.policy.orders {
        return serve_order(&orders, attempts, &identified, permit, recorder).await;
    }
    let result = attempts.run().await;
    attempts.trace.copy_to(&mut recorder);
    match result {
        Ok(answer) => forward_resumable(attempts, identified, permit, recorder, answer).await,
        Err(failure) => refuse(&mut recorder, failure),
    }
}

async fn forward_resumable(
    mut attempts: Attempts,
    identified: Identified,
    permit: AdmissionPermit,
    recorder: Recorder,
    mut answer: Answer,
) -> Response<AnswerBody> {
    if let Some(resumable) = Resumable::from_heads(&identified.head, &answer.head) {
        let (sender, parts) = mpsc::channel(BODY_PART_CAPACITY);
        let body = std::mem::replace(&mut answer.body, parts);
        let head = identified.head.clone();
        actix_rt::spawn(async move {
            let retry_with = async |head| attempts.resume(head).await;
            stream_resuming(resumable, head, body, retry_with, sender).await;
        });
    }
    forward_answer(&identified, permit, recorder, answer).await
}

/// Forwards an upstream's answer to the caller.
pub(super) async fn forward_answer(
    identified: &Identified,
    permit: AdmissionPermit,
    mut recorder: Recorder,
    answer: Answer,
) -> Response<AnswerBody> {
    let Answer {
        head,
        upstream,
        mut body,
    } = answer;
    let Some(size) = bodiless_size(&identified.head.method, &head) else {
        recorder.outcome_if_dropped = Outcome::Answered;
        let parts = AnswerBody::Parts(Box::new(PartsBody {
            parts: body,
            length_bytes: head.body_length_bytes,
            recorder,
            _permit: permit,
        }));
        return answer_response(&head, &upstream, parts);
    };
    // The connection's task does not poll an empty body, so its end is awaited here.
    if body.recv().await != Some(BodyPart::End) {
        return refuse(
            &mut recorder,
            Failure::Unknown(UnknownReason::AnswerTruncated),
        );
    }
    recorder.finish(Outcome::Answered);
    answer_response(&head, &upstream, AnswerBody::Empty(size))
}

/// Answers a request that ended without an upstream's answer, and records its outcome.
pub(super) fn refuse(recorder: &mut Recorder, failure: Failure) -> Response<AnswerBody> {
    let outcome = Outcome::from(failure);
    recorder.finish(outcome);
    failure_response(outcome)
}
