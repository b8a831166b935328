//! Serves an order: claims it, runs it and records its outcome.

use super::attempts::Attempts;
use super::serve::{forward_answer, refuse};
use crate::request::admit::AdmissionPermit;
use crate::request::answer::{AnswerBody, recorded_response};
use crate::request::identify::Identified;
use crate::request::message::{AttemptResult, Failure};
use crate::request::orders::{Claim, OrderClaim, OrdersHandle, run_order};
use crate::request::record::Recorder;
use actix_http::Response;
use balsam_decide::orders::{OrderKey, RecordedOutcome};
use balsam_types::{NotRunReason, Outcome, UnknownReason};
use tokio::sync::oneshot;

/// Claims an order and runs it unless another request has claimed it before.
pub(super) async fn serve_order(
    orders: &OrdersHandle,
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
        Claim::Taken(outcome) => replay_outcome(&mut recorder, outcome),
        Claim::Unavailable => {
            let reason = NotRunReason::ClaimUnavailable;
            refuse(&mut recorder, Failure::NotRun(reason))
        }
    }
}

/// Answers a later arrival of an order with the recorded outcome, without running it.
fn replay_outcome(
    recorder: &mut Recorder,
    outcome: Option<RecordedOutcome>,
) -> Response<AnswerBody> {
    let reason = match outcome {
        Some(RecordedOutcome::Answered {
            head,
            body: Some(body),
        }) => {
            recorder.finish(Outcome::Answered);
            return recorded_response(&head, body);
        }
        Some(RecordedOutcome::Unknown(reason)) => reason,
        // A recorded answer without its body cannot be replayed completely.
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
    recorder.outcome_if_dropped = Outcome::Unknown(UnknownReason::ClaimedBefore);
    let (reply, result) = oneshot::channel::<AttemptResult>();
    let (trace, trace_result) = oneshot::channel();
    let run = async move {
        let result = attempts.run().await;
        // The send fails if the caller has disconnected.
        drop(trace.send(attempts.trace));
        result
    };
    actix_rt::spawn(run_order(claim, run, reply));
    let lost = Err(Failure::Unknown(UnknownReason::UpstreamLost));
    let result = result.await.unwrap_or(lost);
    if let Ok(trace) = trace_result.await {
        trace.copy_to(&mut recorder);
    }
    match result {
        Ok(answer) => forward_answer(identified, permit, recorder, answer).await,
        Err(failure) => refuse(&mut recorder, failure),
    }
}
