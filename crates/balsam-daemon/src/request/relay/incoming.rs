//! The dispatcher daemon's side of a relayed request.

use crate::peer::{BodyPart, IncomingRelay, RelayReader, RelayWriter};
use crate::request::clock::now;
use crate::request::dispatch::Dispatchers;
use crate::request::message::{Answer, Attempt, BODY_PART_CAPACITY, RequestBody};
use balsam_types::Outcome;
use balsam_wire::peer::RelayAnswer;
use log::debug;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// Starts the task that serves relayed requests. It ends after the peer listener has stopped and
/// the running requests have completed.
pub(crate) fn start_relay_server(relays: mpsc::Receiver<IncomingRelay>, dispatchers: Dispatchers) {
    tokio::spawn(run(relays, dispatchers));
}

async fn run(mut relays: mpsc::Receiver<IncomingRelay>, dispatchers: Dispatchers) {
    let mut running = JoinSet::new();
    loop {
        tokio::select! {
            relay = relays.recv() => match relay {
                Some(relay) => {
                    running.spawn(serve(relay, dispatchers.clone()));
                }
                None => break,
            },
            Some(_) = running.join_next(), if !running.is_empty() => {}
        }
    }
    while running.join_next().await.is_some() {}
}

async fn serve(relay: IncomingRelay, dispatchers: Dispatchers) {
    let (request, reader, mut writer) = match relay.accept() {
        Ok(accepted) => accepted,
        Err(error) => return debug!("relayed request: {error}"),
    };
    let (parts, body) = mpsc::channel(BODY_PART_CAPACITY);
    let deadline = now().after(request.head.remaining_ms);
    let attempt = Attempt {
        request,
        body: RequestBody::Stream(body),
        deadline,
    };
    // Whichever branch ends first drops the other one, which cancels the rest of the request.
    tokio::select! {
        () = answer(&dispatchers, attempt, &mut writer) => {}
        () = read_body(reader, parts) => {}
    }
}

async fn answer(dispatchers: &Dispatchers, attempt: Attempt, writer: &mut RelayWriter) {
    let result = tokio::select! {
        result = dispatchers.dispatch(attempt) => result,
        // The entry daemon reset the stream, because it or its caller disconnected.
        () = writer.wait_reset() => return,
    };
    let written = match result {
        Ok(answer) => write_answer(answer, writer).await,
        Err(failure) => {
            let failed = RelayAnswer::Failed(Outcome::from(failure));
            match writer.send_answer(&failed).await {
                Ok(()) => writer.send_part(BodyPart::End).await,
                Err(error) => Err(error),
            }
        }
    };
    if let Err(error) = written {
        debug!("relayed request: {error}");
    }
}

async fn write_answer(
    answer: Answer,
    writer: &mut RelayWriter,
) -> Result<(), crate::peer::PeerError> {
    let Answer { head, mut body, .. } = answer;
    writer.send_answer(&RelayAnswer::Answered(head)).await?;
    loop {
        let part = tokio::select! {
            part = body.recv() => part,
            () = writer.wait_reset() => return Ok(()),
        };
        let Some(part) = part else {
            writer.abort();
            return Ok(());
        };
        let is_end = part == BodyPart::End;
        writer.send_part(part).await?;
        if is_end {
            return Ok(());
        }
    }
}

/// Forwards the request body to the dispatcher, and then waits until the answer ends and this
/// future is dropped.
async fn read_body(mut reader: RelayReader, parts: mpsc::Sender<BodyPart>) {
    loop {
        let part = match reader.next_part().await {
            Ok(part) => part,
            Err(error) => {
                debug!("relayed request: {error}");
                break;
            }
        };
        let is_end = part == BodyPart::End;
        // The send fails if the request was refused before its body was read.
        if parts.send(part).await.is_err() || is_end {
            break;
        }
    }
    drop(parts);
    std::future::pending::<()>().await;
}
