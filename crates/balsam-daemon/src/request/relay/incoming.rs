//! The dispatcher daemon's side of a relay.

use crate::peer::{BodyPart, IncomingRelay, RelayReader, RelayWriter};
use crate::request::clock::now;
use crate::request::dispatch::Dispatchers;
use crate::request::message::{Answer, Attempt, BODY_PARTS, RequestBody};
use balsam_types::Outcome;
use balsam_wire::peer::RelayAnswer;
use log::debug;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// Starts the task that serves relayed requests; it ends, after them, with the listener.
pub(crate) fn start_incoming(relays: mpsc::Receiver<IncomingRelay>, dispatchers: Dispatchers) {
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
    let (parts, body) = mpsc::channel(BODY_PARTS);
    let deadline = now().after(request.head.remaining_ms);
    let attempt = Attempt {
        request,
        body: RequestBody::Stream(body),
        deadline,
    };
    // Either end of this function drops the rest of it, which cancels what is left of the request.
    tokio::select! {
        () = answer(&dispatchers, attempt, &mut writer) => {}
        () = read_body(reader, parts) => {}
    }
}

async fn answer(dispatchers: &Dispatchers, attempt: Attempt, writer: &mut RelayWriter) {
    let result = tokio::select! {
        result = dispatchers.dispatch(attempt) => result,
        // The entry daemon or its caller has gone away.
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

/// Passes the request's body on, and then waits for the answer to end.
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
        // The request may have been refused before its body was read.
        if parts.send(part).await.is_err() || is_end {
            break;
        }
    }
    drop(parts);
    std::future::pending::<()>().await;
}
