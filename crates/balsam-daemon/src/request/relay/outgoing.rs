//! The entry daemon's side of a relayed request.

use crate::peer::{BodyPart, PeerClient, PeerError, RelayReader, RelayWriter, RequestFrame};
use crate::request::clock::instant_at;
use crate::request::message::{
    Answer, Attempt, AttemptResult, BODY_PART_CAPACITY, Failure, RequestBody,
};
use balsam_types::{NotRunReason, Outcome, UnknownReason};
use balsam_wire::peer::{PeerRefusal, RelayAnswer};
use log::debug;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

/// The time limit for opening a stream. If a peer takes longer, another dispatcher has taken over
/// its upstreams well before the stream would open.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// The additional time after the deadline in which the dispatcher may still report how the request
/// ended.
const REPORT_MARGIN: Duration = Duration::from_millis(100);

/// The maximum time between two parts of an answer body. It is longer than the dispatcher's own
/// timeout, because the dispatcher can report the cause.
const STALL_TIMEOUT: Duration = Duration::from_secs(35);

type Writing = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Relays an attempt to the dispatcher at `to`. Dropping the future cancels the attempt.
pub(crate) async fn send(peers: &PeerClient, to: SocketAddr, attempt: Attempt) -> AttemptResult {
    let Attempt {
        request,
        body,
        deadline,
    } = attempt;
    let until = instant_at(deadline);
    let head = RequestFrame::new(&request).map_err(|error| {
        debug!("relay: {error}");
        Failure::NotRun(NotRunReason::BadRequest)
    })?;
    let opened = peers.relay(to, until.min(Instant::now() + OPEN_TIMEOUT));
    let (mut writer, response) = match opened.await {
        Ok(call) => call.split(),
        Err(error) => {
            debug!("relay: {error}");
            return Err(Failure::NotRun(NotRunReason::PeerUnreachable));
        }
    };
    let upstream = request.upstream;
    let mut writing: Writing = Box::pin(async move {
        // The task that reads the answer also notices a broken stream, so the error is not reported
        // here.
        if writer.send_request(head).await.is_ok() {
            write_body(writer, body).await;
        }
    });
    let mut is_written = false;
    let answer = timeout_at(until + REPORT_MARGIN, response.answer());
    tokio::pin!(answer);
    let answered = loop {
        tokio::select! {
            answered = &mut answer => break answered,
            () = &mut writing, if !is_written => is_written = true,
        }
    };
    match answered {
        Ok(Ok((RelayAnswer::Answered(head), reader))) => {
            let (parts, body) = mpsc::channel(BODY_PART_CAPACITY);
            let writing = (!is_written).then_some(writing);
            tokio::spawn(read_body(reader, writing, parts));
            Ok(Answer {
                head,
                upstream,
                body,
            })
        }
        Ok(Ok((RelayAnswer::Failed(outcome), _))) => Err(failure_from_outcome(outcome)),
        Ok(Err(error)) => {
            debug!("relay: {error}");
            Err(failure_from_error(&error))
        }
        Err(_) => Err(Failure::Unknown(UnknownReason::DeadlineAfterSend)),
    }
}

const fn failure_from_outcome(outcome: Outcome) -> Failure {
    match outcome {
        Outcome::NotRun(reason) => Failure::NotRun(reason),
        Outcome::Unknown(reason) => Failure::Unknown(reason),
        Outcome::Answered => Failure::Unknown(UnknownReason::AnswerTruncated),
    }
}

/// Maps a broken stream to a failure. Only a refusal proves that the request was not run.
fn failure_from_error(error: &PeerError) -> Failure {
    match error {
        PeerError::Refused {
            refusal: PeerRefusal::Malformed,
        } => Failure::NotRun(NotRunReason::BadRequest),
        PeerError::Refused {
            refusal: PeerRefusal::Busy,
        } => Failure::NotRun(NotRunReason::QueueFull),
        PeerError::Refused { .. } => Failure::NotRun(NotRunReason::PeerUnreachable),
        PeerError::Broken { source } if source.reason() == Some(h2::Reason::REFUSED_STREAM) => {
            Failure::NotRun(NotRunReason::PeerUnreachable)
        }
        _ => Failure::Unknown(UnknownReason::DispatcherLost),
    }
}

async fn write_body(mut writer: RelayWriter, body: RequestBody) {
    let written = match body {
        RequestBody::Whole(bytes) => {
            let chunk = writer.send_part(BodyPart::Chunk(bytes)).await;
            match chunk {
                Ok(()) => writer.send_part(BodyPart::End).await,
                Err(error) => Err(error),
            }
        }
        RequestBody::Stream(mut parts) => loop {
            let Some(part) = parts.recv().await else {
                return writer.abort();
            };
            let is_end = part == BodyPart::End;
            let sent = writer.send_part(part).await;
            if is_end || sent.is_err() {
                break sent;
            }
        },
    };
    if let Err(error) = written {
        debug!("relay: {error}");
    }
}

/// Forwards the answer body. A body that ends early is forwarded without [`BodyPart::End`].
async fn read_body(
    mut reader: RelayReader,
    mut writing: Option<Writing>,
    parts: mpsc::Sender<BodyPart>,
) {
    loop {
        let part = tokio::select! {
            part = timeout(STALL_TIMEOUT, reader.next_part()) => part,
            () = parts.closed() => return,
            () = poll_writing(&mut writing) => {
                writing = None;
                continue;
            }
        };
        let part = match part {
            Ok(Ok(part)) => part,
            Ok(Err(error)) => return debug!("relay: {error}"),
            Err(_) => return debug!("relay: timed out waiting for the answer body"),
        };
        let is_end = part == BodyPart::End;
        if parts.send(part).await.is_err() || is_end {
            return;
        }
    }
}

async fn poll_writing(writing: &mut Option<Writing>) {
    match writing {
        Some(writing) => writing.await,
        None => std::future::pending().await,
    }
}
