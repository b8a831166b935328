//! Runs a claimed order to its end.

use super::OrderClaim;
use crate::peer::BodyPart;
use crate::request::message::{Answer, AttemptResult, BODY_PARTS, Failure};
use balsam_decide::orders::RecordedOutcome;
use balsam_types::{ResponseHead, UnknownReason};
use tokio::sync::{mpsc, oneshot};

/// Body bytes that are kept for the record; the orders machine records no larger bodies.
const RECORDED_BODY_MAX_BYTES: usize = 64 << 10;

/// Awaits the order's result, records it and passes it on.
///
/// The order goes on when its caller goes away: cancelled, its outcome would be unknown for good,
/// while completed, a later arrival gets the recorded answer.
pub(crate) async fn run_order(
    claim: OrderClaim,
    result: impl Future<Output = AttemptResult>,
    reply: oneshot::Sender<AttemptResult>,
) {
    let answer = match result.await {
        Ok(answer) => answer,
        Err(failure) => {
            match failure {
                Failure::NotRun(_) => claim.not_run().await,
                Failure::Unknown(reason) => {
                    claim.finished(RecordedOutcome::Unknown(reason)).await;
                }
            }
            // The caller may have gone away.
            drop(reply.send(Err(failure)));
            return;
        }
    };
    let Answer {
        head,
        upstream,
        body,
    } = answer;
    let (parts, passed_on) = mpsc::channel(BODY_PARTS);
    let passed = Answer {
        head: head.clone(),
        upstream,
        body: passed_on,
    };
    // The caller may have gone away; the answer is then only recorded.
    drop(reply.send(Ok(passed)));
    claim.finished(record(head, body, parts).await).await;
}

/// Passes the body on and returns what is recorded of the answer.
async fn record(
    head: ResponseHead,
    mut body: mpsc::Receiver<BodyPart>,
    parts: mpsc::Sender<BodyPart>,
) -> RecordedOutcome {
    let mut kept = Some(Vec::new());
    while let Some(part) = body.recv().await {
        let is_end = part == BodyPart::End;
        if let BodyPart::Chunk(bytes) = &part {
            kept = kept.filter(|kept| kept.len() + bytes.len() <= RECORDED_BODY_MAX_BYTES);
            if let Some(kept) = &mut kept {
                kept.extend_from_slice(bytes);
            }
        }
        // The caller may have gone away; the rest is read for the record.
        drop(parts.send(part).await);
        if is_end {
            return RecordedOutcome::Answered { head, body: kept };
        }
    }
    RecordedOutcome::Unknown(UnknownReason::AnswerTruncated)
}
