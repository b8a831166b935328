//! An upstream whose answers a test writes byte by byte.

use super::caller::unchunk;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// A request as the upstream received it.
#[derive(Debug)]
pub struct Seen {
    /// The head, in lower case.
    pub head: String,
    /// The body, without the marks of chunks.
    pub body: Vec<u8>,
    /// The number of the connection, from 0.
    pub connection: usize,
    /// The connection, for the answer.
    pub socket: TcpStream,
    back: mpsc::UnboundedSender<(usize, TcpStream)>,
}

impl Seen {
    /// Sends the bytes of an answer and waits for the next request on the connection.
    pub async fn answer(mut self, bytes: impl AsRef<[u8]>) {
        self.send(bytes).await;
        let _ = self.back.send((self.connection, self.socket));
    }

    /// Sends bytes and keeps the connection with the test.
    pub async fn send(&mut self, bytes: impl AsRef<[u8]>) {
        let sent = self.socket.write_all(bytes.as_ref()).await;
        sent.expect("the daemon reads the answer");
    }

    /// Sends bytes and closes the connection.
    pub async fn send_and_close(mut self, bytes: impl AsRef<[u8]>) {
        self.send(bytes).await;
        let _ = self.socket.shutdown().await;
    }

    /// Sends a whole answer with a length.
    pub async fn ok(self, body: &str) {
        let length = body.len();
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
        self.answer(answer).await;
    }

    /// Waits until the daemon closes the connection.
    pub async fn closed(mut self) {
        let mut buffer = [0; 1024];
        while matches!(self.socket.read(&mut buffer).await, Ok(read) if read > 0) {}
    }

    /// Returns the value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines();
        lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }
}

/// A listening upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Its address.
    pub address: SocketAddr,
    requests: mpsc::UnboundedReceiver<Seen>,
}

impl Upstream {
    /// Starts to listen on a port that the system chooses.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a free port on loopback");
        let address = listener.local_addr().expect("a bound address");
        let (sender, requests) = mpsc::unbounded_channel();
        let (back, mut returned) = mpsc::unbounded_channel();
        actix_rt::spawn(async move {
            let mut connections = 0;
            loop {
                let (connection, socket) = tokio::select! {
                    accepted = listener.accept() => {
                        connections += 1;
                        (connections - 1, accepted.expect("an accepted connection").0)
                    }
                    Some(returned) = returned.recv() => returned,
                };
                actix_rt::spawn(read_request(
                    connection,
                    socket,
                    sender.clone(),
                    back.clone(),
                ));
            }
        });
        Self { address, requests }
    }

    /// Waits for the next request.
    pub async fn next(&mut self) -> Seen {
        let next = tokio::time::timeout(std::time::Duration::from_secs(10), self.requests.recv());
        let next = next.await.expect("a request within 10 s");
        next.expect("the upstream runs")
    }

    /// Returns a request that has already come.
    pub fn try_next(&mut self) -> Option<Seen> {
        self.requests.try_recv().ok()
    }
}

async fn read_request(
    connection: usize,
    mut socket: TcpStream,
    sender: mpsc::UnboundedSender<Seen>,
    back: mpsc::UnboundedSender<(usize, TcpStream)>,
) {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        if !matches!(socket.read_buf(&mut bytes).await, Ok(read) if read > 0) {
            return;
        }
    };
    let mut body = bytes.split_off(end);
    let head = String::from_utf8_lossy(&bytes).to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    while body.len() < length.unwrap_or(0) {
        if !matches!(socket.read_buf(&mut body).await, Ok(read) if read > 0) {
            return;
        }
    }
    if head.contains("\r\ntransfer-encoding: chunked\r\n") {
        loop {
            let (unchunked, whole) = unchunk(&body);
            if whole {
                body = unchunked;
                break;
            }
            if !matches!(socket.read_buf(&mut body).await, Ok(read) if read > 0) {
                return;
            }
        }
    }
    let _ = sender.send(Seen {
        head,
        body,
        connection,
        socket,
        back,
    });
}
