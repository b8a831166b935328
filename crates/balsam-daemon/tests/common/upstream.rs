//! A scripted upstream, whose answers a test writes byte by byte.

use super::caller::decode_chunks;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// A request as received by the upstream.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// The head in lower case.
    pub head: String,
    /// The body, without chunk headers.
    pub body: Vec<u8>,
    /// The index of the connection, in the order in which connections were accepted.
    pub connection: usize,
    /// The connection on which to send the answer.
    pub socket: TcpStream,
    return_sender: mpsc::UnboundedSender<(usize, TcpStream)>,
}

impl ReceivedRequest {
    /// Sends the bytes of an answer and returns the connection to the upstream, which waits for the
    /// next request on it.
    pub async fn answer(mut self, bytes: impl AsRef<[u8]>) {
        self.send(bytes).await;
        let _ = self.return_sender.send((self.connection, self.socket));
    }

    /// Sends bytes without giving up the connection.
    pub async fn send(&mut self, bytes: impl AsRef<[u8]>) {
        let sent = self.socket.write_all(bytes.as_ref()).await;
        sent.expect("the daemon reads the answer");
    }

    /// Sends bytes and closes the connection.
    pub async fn send_and_close(mut self, bytes: impl AsRef<[u8]>) {
        self.send(bytes).await;
        let _ = self.socket.shutdown().await;
    }

    /// Sends a complete 200 answer with a `content-length`.
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

/// A listening scripted upstream.
#[derive(Debug)]
pub struct Upstream {
    /// The listen address.
    pub address: SocketAddr,
    requests: mpsc::UnboundedReceiver<ReceivedRequest>,
}

impl Upstream {
    /// Starts listening on a free loopback port.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a free port on loopback");
        let address = listener.local_addr().expect("a bound address");
        let (sender, requests) = mpsc::unbounded_channel();
        let (return_sender, mut returned) = mpsc::unbounded_channel();
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
                    return_sender.clone(),
                ));
            }
        });
        Self { address, requests }
    }

    /// Waits for the next complete request.
    pub async fn next(&mut self) -> ReceivedRequest {
        let next = tokio::time::timeout(std::time::Duration::from_secs(10), self.requests.recv());
        let next = next.await.expect("a request within 10 s");
        next.expect("the upstream runs")
    }

    /// Returns a request that has already arrived, if there is one.
    pub fn try_next(&mut self) -> Option<ReceivedRequest> {
        self.requests.try_recv().ok()
    }
}

async fn read_request(
    connection: usize,
    mut socket: TcpStream,
    sender: mpsc::UnboundedSender<ReceivedRequest>,
    return_sender: mpsc::UnboundedSender<(usize, TcpStream)>,
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
            let (decoded, is_complete) = decode_chunks(&body);
            if is_complete {
                body = decoded;
                break;
            }
            if !matches!(socket.read_buf(&mut body).await, Ok(read) if read > 0) {
                return;
            }
        }
    }
    let _ = sender.send(ReceivedRequest {
        head,
        body,
        connection,
        socket,
        return_sender,
    });
}
