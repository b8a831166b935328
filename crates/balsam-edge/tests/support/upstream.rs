//! An upstream whose answers follow a script.

use super::NAMES;
use balsam_http1::{RequestHead, parse_request};
use bytes::BytesMut;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// What an upstream does with its next request; the last act is repeated.
#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// Answers.
    Answer,
    /// Answers, and sends an answer to another request behind it.
    AnswerTwice,
    /// Closes the connection after it has read the request.
    Close,
    /// Ends: closes the connection and takes no other one.
    Crash,
    /// Closes the connection in the middle of the answer.
    CutShort,
    /// Says that it did not run the request.
    Refuse,
    /// Says the same with the request's id.
    RefuseOwn,
    /// Writes the last refusal on the connection once more, and answers.
    RefuseAgain,
    /// Answers with bytes that go on until the connection is closed: a text, and another that is
    /// repeated.
    Endless(&'static str, &'static str),
    /// Answers after a while.
    Slow(Duration),
}

pub struct Upstream {
    pub name: String,
    pub address: SocketAddr,
    seen: mpsc::UnboundedReceiver<String>,
}

impl Upstream {
    pub async fn start(name: &str, acts: &[Act]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let (seen, received) = mpsc::unbounded_channel();
        let acts = acts.to_vec();
        let own = name.to_owned();
        actix_rt::spawn(async move {
            let (take, mut taken) = mpsc::unbounded_channel();
            for act in &acts {
                take.send(*act).expect("an open channel");
            }
            let last = *acts.last().expect("an act");
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                // One connection at a time keeps the script in order.
                if serve(stream, &own, &mut taken, last, &seen).await == Served::Crashed {
                    return;
                }
            }
        });
        Self {
            name: name.to_owned(),
            address,
            seen: received,
        }
    }

    /// Returns the ids of the requests that arrived, and what ended without them.
    pub fn seen(&mut self) -> Vec<String> {
        std::iter::from_fn(|| self.seen.try_recv().ok()).collect()
    }

    /// Waits for the next event.
    pub async fn next(&mut self) -> String {
        let event = timeout(Duration::from_secs(10), self.seen.recv());
        event
            .await
            .expect("an event in time")
            .expect("a running upstream")
    }
}

fn refuse(id: &str) -> String {
    format!("HTTP/1.1 503 Full\r\nTest-Not-Run: 1\r\n{id}Content-Length: 0\r\n\r\n")
}

async fn write_endless(stream: &mut TcpStream, start: &str, again: &str) {
    let mut bytes = start.to_owned();
    loop {
        bytes += &again.repeat(64);
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return;
        }
        bytes.clear();
    }
}

/// What has become of an upstream after a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Served {
    Runs,
    Crashed,
}

async fn serve(
    mut stream: TcpStream,
    name: &str,
    acts: &mut mpsc::UnboundedReceiver<Act>,
    last: Act,
    seen: &mpsc::UnboundedSender<String>,
) -> Served {
    let mut buffer = BytesMut::new();
    let mut refusal = String::new();
    loop {
        let head: RequestHead = loop {
            if let Some(head) = parse_request(&mut buffer, 1 << 14).expect("a request") {
                break head;
            }
            if !matches!(stream.read_buf(&mut buffer).await, Ok(read) if read > 0) {
                return Served::Runs;
            }
        };
        let id = head
            .fields
            .text(NAMES.attempt_id)
            .unwrap_or_default()
            .to_owned();
        assert_eq!(head.fields.text(NAMES.expected_upstream), Some(name));
        assert!(head.fields.get(NAMES.deadline_ms).is_some());
        seen.send(id.clone()).expect("a listening test");
        let act = acts.try_recv().unwrap_or(last);
        let answer = |id: &str| {
            format!(
                "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\nTest-Signature: s-{id}\r\n\
                 Content-Length: {}\r\n\r\nbody of {id}",
                8 + id.len()
            )
        };
        let text = match act {
            Act::Answer => answer(&id),
            Act::AnswerTwice => answer(&id) + &answer("another"),
            Act::Close => return Served::Runs,
            Act::Crash => return Served::Crashed,
            Act::CutShort => answer(&id)[..answer(&id).len() - 3].to_owned(),
            Act::Refuse => {
                refusal = refuse("");
                refusal.clone()
            }
            Act::RefuseOwn => {
                refusal = refuse(&format!("Test-Id: {id}\r\n"));
                refusal.clone()
            }
            Act::RefuseAgain => refusal.clone() + &answer(&id),
            Act::Endless(start, again) => {
                write_endless(&mut stream, start, again).await;
                seen.send(format!("{id} closed")).expect("a listening test");
                return Served::Runs;
            }
            Act::Slow(pause) => {
                let mut rest = BytesMut::new();
                tokio::select! {
                    () = sleep(pause) => answer(&id),
                    _ = stream.read_buf(&mut rest) => {
                        seen.send(format!("{id} cancelled")).expect("a listening test");
                        return Served::Runs;
                    }
                }
            }
        };
        if stream.write_all(text.as_bytes()).await.is_err() || matches!(act, Act::CutShort) {
            return Served::Runs;
        }
    }
}
