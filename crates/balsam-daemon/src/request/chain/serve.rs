//! Serves one request of a caller.

use super::attempts::Attempts;
use super::body::BodySource;
use super::order::route_order;
use crate::metrics::Metrics;
use crate::peer::{BodyPart, PeerClient};
use crate::request::accept::Phase;
use crate::request::admit::{Admission, AdmissionPermit, fingerprint, read_body};
use crate::request::answer::{
    AnswerBody, PartsBody, Resumable, answered, empty_size, failed, stream_resuming,
};
use crate::request::clock::now;
use crate::request::dispatch::Dispatchers;
use crate::request::identify::{Identified, identify};
use crate::request::message::{Answer, BODY_PARTS, Failure};
use crate::request::orders::OrderDesk;
use crate::request::record::{self, Recorder};
use crate::request::retry::Retries;
use actix_http::{ConnectionType, Payload, Request, Response};
use balsam_decide::node::View;
use balsam_types::{Fingerprint, NotRunReason, Outcome, Set, UnknownReason};
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{mpsc, watch};

/// The handles that the filters of one request use; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// The newest view.
    pub(crate) views: watch::Receiver<Arc<View>>,
    /// Whether the daemon is stopping.
    pub(crate) phase: watch::Receiver<Phase>,
    /// Other daemons.
    pub(crate) peers: PeerClient,
    /// This daemon's dispatch tasks.
    pub(crate) dispatchers: Dispatchers,
    /// The entry bounds.
    pub(crate) admission: Admission,
    /// The orders task.
    pub(crate) orders: OrderDesk,
    /// The quarantined requests.
    pub(crate) refused: watch::Receiver<Arc<Set<Fingerprint>>>,
    /// The retry budgets.
    pub(crate) retries: Retries,
    /// The instruments.
    pub(crate) metrics: Metrics,
    /// Bytes of header fields that a caller may send.
    pub(crate) header_max_bytes: usize,
}

/// Serves one request.
pub(crate) async fn serve(entry: Entry, request: Request) -> Response<AnswerBody> {
    let phase = entry.phase.clone();
    let mut response = serve_identified(entry, request).await;
    if *phase.borrow() != Phase::Running {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

async fn serve_identified(entry: Entry, mut request: Request) -> Response<AnswerBody> {
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
            return failed(outcome);
        }
    };
    let mut recorder = Recorder::new(entry.metrics.clone(), &identified.head, started);
    match admit(&entry, &identified, payload).await {
        Ok(admitted) => route(entry, identified, admitted, recorder).await,
        Err(reason) => refuse(&mut recorder, Failure::NotRun(reason)),
    }
}

/// A request with its place and its body.
struct Admitted {
    permit: AdmissionPermit,
    body: BodySource,
    fingerprint: Fingerprint,
}

async fn admit(
    entry: &Entry,
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
    entry: Entry,
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
        return route_order(&orders, attempts, &identified, permit, recorder).await;
    }
    let result = attempts.run().await;
    attempts.trace.note(&mut recorder);
    match result {
        Ok(answer) => pass_on(attempts, identified, permit, recorder, answer).await,
        Err(failure) => refuse(&mut recorder, failure),
    }
}

async fn pass_on(
    mut attempts: Attempts,
    identified: Identified,
    permit: AdmissionPermit,
    recorder: Recorder,
    mut answer: Answer,
) -> Response<AnswerBody> {
    if let Some(resumable) = Resumable::of(&identified.head, &answer.head) {
        let (sender, parts) = mpsc::channel(BODY_PARTS);
        let body = std::mem::replace(&mut answer.body, parts);
        let head = identified.head.clone();
        actix_rt::spawn(async move {
            let again = async |head| attempts.resume(head).await;
            stream_resuming(resumable, head, body, again, sender).await;
        });
    }
    give(&identified, permit, recorder, answer).await
}

/// Gives an upstream's answer to the caller.
pub(super) async fn give(
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
    let Some(size) = empty_size(&identified.head.method, &head) else {
        recorder.if_left = Outcome::Answered;
        let parts = AnswerBody::Parts(Box::new(PartsBody {
            parts: body,
            length_bytes: head.body_length_bytes,
            recorder,
            _permit: permit,
        }));
        return answered(&head, &upstream, parts);
    };
    // The connection's task asks an empty body for nothing, so that its end is awaited here.
    if body.recv().await != Some(BodyPart::End) {
        return refuse(
            &mut recorder,
            Failure::Unknown(UnknownReason::AnswerTruncated),
        );
    }
    recorder.finish(Outcome::Answered);
    answered(&head, &upstream, AnswerBody::Empty(size))
}

/// Answers a request that ended without an upstream's answer.
pub(super) fn refuse(recorder: &mut Recorder, failure: Failure) -> Response<AnswerBody> {
    let outcome = Outcome::from(failure);
    recorder.finish(outcome);
    failed(outcome)
}
