//! Sends one request and judges its answer.

use super::{LoadStream, Verdict, WorkKind};
use crate::harness::{Answer, Client, HarnessError, Sent};
use balsam_types::OrderId;
use balsam_wire::upstream::headers;

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
    if answer.header(headers::NOT_RUN).is_some() {
        return Verdict::NotRun;
    }
    match answer.header(headers::OUTCOME) {
        Some("not-run") => Verdict::NotRun,
        Some("unknown") => Verdict::Unknown,
        _ if (200..300).contains(&answer.status) => Verdict::Answered,
        _ => Verdict::Failed,
    }
}
