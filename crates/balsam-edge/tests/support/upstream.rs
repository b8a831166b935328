//! An upstream that follows a script.

use super::NAMES;
use balsam_http1::{BodyStep, RequestHead, parse_request};
use bytes::BytesMut;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// What an upstream does with a request. The last behavior of the script is repeated.
#[derive(Clone, Copy, Debug)]
pub enum Behavior {
    /// Responds.
    Respond,
    /// Responds, and sends a response to another request behind it.
    RespondTwice,
    /// Closes the connection after it has read the request.
    Close,
    /// Closes the connection and accepts no other one.
    Crash,
    /// Closes the connection in the middle of the response.
    Truncate,
    /// Refuses the request as not run, without the request's id.
    Refuse,
    /// Refuses the request as not run, with the request's id.
    RefuseWithId,
    /// Writes the last refusal on the connection once more, and responds.
    RepeatRefusal,
    /// Responds with bytes until the connection is closed: a text, and another one that is
    /// repeated.
    Endless(&'static str, &'static str),
    /// Responds with this status code.
    Status(&'static str),
    /// Responds after a delay.
    Slow(Duration),
    /// Reads the body of the request, and responds after a delay.
    TakeBody(Duration),
    /// Responds with further header fields.
    Announce(&'static str),
    /// Refuses the request as not run, with the request's id and further header fields.
    RefuseAnnouncing(&'static str),
    /// Sends a response to another request, with further header fields, before it responds.
    AnnounceToAnother(&'static str),
}

pub struct Upstream {
    pub name: String,
    pub address: SocketAddr,
    events: mpsc::UnboundedReceiver<String>,
}

impl Upstream {
    pub async fn start(name: &str, behaviors: &[Behavior]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let (events, received) = mpsc::unbounded_channel();
        let behaviors = behaviors.to_vec();
        let own_name = name.to_owned();
        actix_rt::spawn(async move {
            let (behaviors_tx, mut behaviors_rx) = mpsc::unbounded_channel();
            for behavior in &behaviors {
                behaviors_tx.send(*behavior).expect("an open channel");
            }
            let last = *behaviors.last().expect("a behavior");
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                // Serving one connection at a time keeps the script in order.
                if serve(stream, &own_name, &mut behaviors_rx, last, &events).await
                    == ServeOutcome::Crashed
                {
                    return;
                }
            }
        });
        Self {
            name: name.to_owned(),
            address,
            events: received,
        }
    }

    /// Returns the events since the last call: the ids of requests that arrived, and notes on
    /// requests that were cancelled or closed.
    pub fn events(&mut self) -> Vec<String> {
        std::iter::from_fn(|| self.events.try_recv().ok()).collect()
    }

    /// Waits for the next event.
    pub async fn next_event(&mut self) -> String {
        let event = timeout(Duration::from_secs(10), self.events.recv());
        event
            .await
            .expect("an event in time")
            .expect("a running upstream")
    }
}

fn refuse(id: &str) -> String {
    format!("HTTP/1.1 503 Full\r\nTest-Not-Run: 1\r\n{id}Content-Length: 0\r\n\r\n")
}

async fn write_endless(stream: &mut TcpStream, start: &str, repeated: &str) {
    let mut bytes = start.to_owned();
    loop {
        bytes += &repeated.repeat(64);
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return;
        }
        bytes.clear();
    }
}

/// State of an upstream after the end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServeOutcome {
    Running,
    Crashed,
}

async fn serve(
    mut stream: TcpStream,
    name: &str,
    behaviors: &mut mpsc::UnboundedReceiver<Behavior>,
    last: Behavior,
    events: &mpsc::UnboundedSender<String>,
) -> ServeOutcome {
    let mut buffer = BytesMut::new();
    let mut refusal = String::new();
    loop {
        let mut head: RequestHead = loop {
            if let Some(head) = parse_request(&mut buffer, 1 << 14).expect("a request") {
                break head;
            }
            if !matches!(stream.read_buf(&mut buffer).await, Ok(read) if read > 0) {
                return ServeOutcome::Running;
            }
        };
        let id = head
            .fields
            .text(NAMES.attempt_id)
            .unwrap_or_default()
            .to_owned();
        assert_eq!(head.fields.text(NAMES.expected_upstream), Some(name));
        assert!(head.fields.get(NAMES.deadline_ms).is_some());
        events.send(id.clone()).expect("a listening test");
        let behavior = behaviors.try_recv().unwrap_or(last);
        let announce = |id: &str, fields: &str| {
            format!(
                "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\nTest-Signature: s-{id}\r\n{fields}\
                 Content-Length: {}\r\n\r\nbody of {id}",
                8 + id.len()
            )
        };
        let response = |id: &str| announce(id, "");
        let text = match behavior {
            Behavior::Respond => response(&id),
            Behavior::RespondTwice => response(&id) + &response("another"),
            Behavior::Close => return ServeOutcome::Running,
            Behavior::Crash => return ServeOutcome::Crashed,
            Behavior::Truncate => response(&id)[..response(&id).len() - 3].to_owned(),
            Behavior::Refuse => {
                refusal = refuse("");
                refusal.clone()
            }
            Behavior::RefuseWithId => {
                refusal = refuse(&format!("Test-Id: {id}\r\n"));
                refusal.clone()
            }
            Behavior::Announce(fields) => announce(&id, fields),
            Behavior::Status(status) => {
                format!("HTTP/1.1 {status} Trouble\r\nTest-Id: {id}\r\nContent-Length: 0\r\n\r\n")
            }
            Behavior::RefuseAnnouncing(fields) => refuse(&format!("Test-Id: {id}\r\n{fields}")),
            Behavior::AnnounceToAnother(fields) => announce("another", fields) + &response(&id),
            Behavior::RepeatRefusal => refusal.clone() + &response(&id),
            Behavior::Endless(start, repeated) => {
                write_endless(&mut stream, start, repeated).await;
                events
                    .send(format!("{id} closed"))
                    .expect("a listening test");
                return ServeOutcome::Running;
            }
            Behavior::TakeBody(pause) => {
                loop {
                    match head.body.step(&mut buffer).expect("a body") {
                        BodyStep::Chunk(_) => {}
                        BodyStep::End => break,
                        BodyStep::NeedMore => {
                            if !matches!(stream.read_buf(&mut buffer).await, Ok(read) if read > 0) {
                                return ServeOutcome::Running;
                            }
                        }
                    }
                }
                sleep(pause).await;
                response(&id)
            }
            Behavior::Slow(pause) => {
                let mut rest = BytesMut::new();
                tokio::select! {
                    () = sleep(pause) => response(&id),
                    _ = stream.read_buf(&mut rest) => {
                        events.send(format!("{id} cancelled")).expect("a listening test");
                        return ServeOutcome::Running;
                    }
                }
            }
        };
        if stream.write_all(text.as_bytes()).await.is_err()
            || matches!(behavior, Behavior::Truncate)
        {
            return ServeOutcome::Running;
        }
    }
}
