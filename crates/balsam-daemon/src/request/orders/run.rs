//! Runs a claimed order to completion.

use super::OrderClaim;
use crate::peer::BodyPart;
use crate::request::message::{Answer, AttemptResult, BODY_PART_CAPACITY, Failure};
use balsam_decide::orders::RecordedOutcome;
use balsam_types::{ResponseHead, UnknownReason};
use tokio::sync::{mpsc, oneshot};

/// The maximum size of an answer body that is buffered for the record. The orders machine does not
/// record larger bodies.
const RECORDED_BODY_MAX_BYTES: usize = 64 << 10;

/// Awaits the order's result, records it and forwards it to the caller.
///
/// The order keeps running when its caller disconnects. Cancelling it would leave its outcome
/// unknown for good, whereas after completion a later arrival gets the recorded answer.
pub(crate) async fn run_order(
    claim: OrderClaim,
    result: impl Future<Output = AttemptResult>,
    reply: oneshot::Sender<AttemptResult>,
) {
    let answer = match result.await {
        Ok(answer) => answer,
        Err(failure) => {
            match failure {
                Failure::NotRun(_) => claim.release().await,
                Failure::Unknown(reason) => {
                    claim.finish(RecordedOutcome::Unknown(reason)).await;
                }
            }
            // The send fails if the caller has disconnected.
            drop(reply.send(Err(failure)));
            return;
        }
    };
    let Answer {
        head,
        upstream,
        body,
    } = answer;
    let (parts, forwarded_body) = mpsc::channel(BODY_PART_CAPACITY);
    let forwarded = Answer {
        head: head.clone(),
        upstream,
        body: forwarded_body,
    };
    // The send fails if the caller has disconnected. The answer is then only recorded.
    drop(reply.send(Ok(forwarded)));
    claim.finish(record(head, body, parts).await).await;
}

/// Forwards the body and returns the outcome to record.
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
        // The send fails if the caller has disconnected. The rest of the body is still read for the
        // record.
        drop(parts.send(part).await);
        if is_end {
            return RecordedOutcome::Answered { head, body: kept };
        }
    }
    RecordedOutcome::Unknown(UnknownReason::AnswerTruncated)
}
