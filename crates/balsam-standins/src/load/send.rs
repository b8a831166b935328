//! Sends one request and judges its answer.

use super::{LoadStream, Verdict, WorkKind};
use crate::harness::{Answer, Client, HarnessError, Sent};
use balsam_types::{NotRunReason, OrderId, UnknownReason};
use balsam_wire::upstream::{NotRunCause, headers};

/// Makes the request of one arrival.
pub(super) fn request(stream: &LoadStream, key: u64, order_id: Option<&OrderId>) -> Sent {
    let path = format!("/{}/k{key}", stream.service);
    let sent = match stream.kind {
        WorkKind::Read => Sent::get(path),
        WorkKind::Order { body_bytes } => Sent::post(path, vec![b'x'; body_bytes]),
    };
    let sent = sent
        .with_header(headers::RANK, &stream.rank)
        .with_header(headers::MEMBER, &stream.member)
        .with_header(headers::DEADLINE_MS, stream.deadline_ms);
    match order_id {
        Some(id) => sent.with_header(headers::IDEMPOTENCY_KEY, id),
        None => sent,
    }
}

/// Sends `sent` and returns how it ended.
pub(super) async fn send(client: &Client, sent: Sent) -> Verdict {
    judge(&client.send(sent).await)
}

fn judge(answer: &Result<Answer, HarnessError>) -> Verdict {
    let Ok(answer) = answer else {
        return Verdict::Failed;
    };
    if !answer.complete {
        return Verdict::Failed;
    }
    // An upstream that is measured without a daemon gives its cause directly.
    if let Some(cause) = answer.header(headers::NOT_RUN) {
        return Verdict::NotRun(NotRunCause::from_text(cause).map(Into::into));
    }
    let reason = answer.header(headers::REASON);
    match answer.header(headers::OUTCOME) {
        Some("not-run") => Verdict::NotRun(reason.and_then(NotRunReason::from_text)),
        Some("unknown") => Verdict::Unknown(reason.and_then(UnknownReason::from_text)),
        _ if (200..300).contains(&answer.status) => Verdict::Answered,
        _ => Verdict::Failed,
    }
}
