//! Serves one order: claim, run, record.

use super::attempts::Attempts;
use super::serve::{give, refuse};
use crate::request::admit::AdmissionPermit;
use crate::request::answer::{AnswerBody, recorded};
use crate::request::identify::Identified;
use crate::request::message::{AttemptResult, Failure};
use crate::request::orders::{Claim, OrderClaim, OrderDesk, run_order};
use crate::request::record::Recorder;
use actix_http::Response;
use balsam_decide::orders::{OrderKey, RecordedOutcome};
use balsam_types::{NotRunReason, Outcome, UnknownReason};
use tokio::sync::oneshot;

/// Claims an order and runs it if no other request has claimed it before.
pub(super) async fn route_order(
    orders: &OrderDesk,
    attempts: Attempts,
    identified: &Identified,
    permit: AdmissionPermit,
    mut recorder: Recorder,
) -> Response<AnswerBody> {
    let head = &identified.head;
    let Some(id) = head.order_id.clone() else {
        return refuse(&mut recorder, Failure::NotRun(NotRunReason::MissingOrderId));
    };
    let key = OrderKey {
        service: head.service.clone(),
        member: head.member.clone(),
        id,
    };
    match orders.claim(key, identified.deadline).await {
        Claim::Held(claim) => run_claimed(attempts, claim, identified, permit, recorder).await,
        Claim::Taken(outcome) => repeat(&mut recorder, outcome),
        Claim::Unavailable => {
            let reason = NotRunReason::ClaimUnavailable;
            refuse(&mut recorder, Failure::NotRun(reason))
        }
    }
}

/// Answers a later arrival of an order; it never runs.
fn repeat(recorder: &mut Recorder, outcome: Option<RecordedOutcome>) -> Response<AnswerBody> {
    let reason = match outcome {
        Some(RecordedOutcome::Answered {
            head,
            body: Some(body),
        }) => {
            recorder.finish(Outcome::Answered);
            return recorded(&head, body);
        }
        Some(RecordedOutcome::Unknown(reason)) => reason,
        // An answer whose body is not recorded cannot be given whole.
        Some(RecordedOutcome::Answered { body: None, .. }) | None => UnknownReason::ClaimedBefore,
    };
    refuse(recorder, Failure::Unknown(reason))
}

async fn run_claimed(
    mut attempts: Attempts,
    claim: OrderClaim,
    identified: &Identified,
    permit: AdmissionPermit,
    mut recorder: Recorder,
) -> Response<AnswerBody> {
    recorder.if_left = Outcome::Unknown(UnknownReason::ClaimedBefore);
    let (reply, result) = oneshot::channel::<AttemptResult>();
    let (trace, traced) = oneshot::channel();
    let run = async move {
        let result = attempts.run().await;
        // The caller may have gone away.
        drop(trace.send(attempts.trace));
        result
    };
    actix_rt::spawn(run_order(claim, run, reply));
    let lost = Err(Failure::Unknown(UnknownReason::UpstreamLost));
    let result = result.await.unwrap_or(lost);
    if let Ok(trace) = traced.await {
        trace.note(&mut recorder);
    }
    match result {
        Ok(answer) => give(identified, permit, recorder, answer).await,
        Err(failure) => refuse(&mut recorder, failure),
    }
}
