//! A caller on a raw TCP connection, so that tests can inspect the exact bytes of an answer.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// An answer as received by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerAnswer {
    /// The status code, or 0 if the connection ended before the head of the answer.
    pub status: u16,
    /// The head in lower case.
    pub head: String,
    /// The bytes of the body that arrived, without chunk headers.
    pub body: Vec<u8>,
    /// Whether the body is proven complete by its length or by the last chunk.
    pub is_complete: bool,
}

impl CallerAnswer {
    /// Returns the value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines();
        lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }

    /// Returns the outcome and the reason from the header fields, each empty if absent.
    pub fn outcome(&self) -> (&str, &str) {
        let field = |name| self.field(name).unwrap_or_default();
        (field("balsam-outcome"), field("balsam-reason"))
    }
}

/// Sends a request without a body on a new connection and waits for the answer.
pub async fn call(address: SocketAddr, request: &str, fields: &str) -> CallerAnswer {
    let mut socket = open_request(address, request, fields).await;
    read_answer(&mut socket).await
}

/// Sends a request without a body on a new connection, which it returns for reading the answer.
pub async fn open_request(address: SocketAddr, request: &str, fields: &str) -> TcpStream {
    let socket = TcpStream::connect(address).await;
    let mut socket = socket.expect("the daemon accepts");
    let head = format!("{request} HTTP/1.1\r\nhost: test\r\n{fields}\r\n");
    let sent = socket.write_all(head.as_bytes()).await;
    sent.expect("the daemon reads the request");
    socket
}

/// Reads one answer, until it is complete or the connection ends.
pub async fn read_answer(socket: &mut TcpStream) -> CallerAnswer {
    let mut answer = CallerAnswer {
        status: 0,
        head: String::new(),
        body: Vec::new(),
        is_complete: false,
    };
    let mut bytes = Vec::new();
    loop {
        parse(&bytes, &mut answer);
        if answer.is_complete {
            return answer;
        }
        let read = timeout(Duration::from_secs(20), socket.read_buf(&mut bytes)).await;
        let read = read.expect("the answer goes on or ends within 20 s");
        if !matches!(read, Ok(read) if read > 0) {
            return answer;
        }
    }
}

/// Reads until the received bytes end with `text`, and returns them.
pub async fn read_until(socket: &mut TcpStream, text: &str) -> String {
    let mut bytes = Vec::new();
    while !bytes.ends_with(text.as_bytes()) {
        let read = timeout(Duration::from_secs(20), socket.read_buf(&mut bytes)).await;
        let read = read.expect("the answer goes on within 20 s");
        assert!(
            matches!(read, Ok(read) if read > 0),
            "the answer ended early"
        );
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads until the connection is closed or reset, and returns the received bytes.
pub async fn read_to_end(socket: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    loop {
        let read = timeout(Duration::from_secs(20), socket.read_buf(&mut bytes)).await;
        let read = read.expect("the connection ends within 20 s");
        if !matches!(read, Ok(read) if read > 0) {
            return String::from_utf8_lossy(&bytes).into_owned();
        }
    }
}

fn parse(bytes: &[u8], answer: &mut CallerAnswer) {
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return;
    };
    answer.head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let status = answer.head.get(9..12).and_then(|text| text.parse().ok());
    answer.status = status.unwrap_or(0);
    let body = &bytes[end + 4..];
    if answer.field("transfer-encoding") == Some("chunked") {
        (answer.body, answer.is_complete) = decode_chunks(body);
    } else {
        let length = answer
            .field("content-length")
            .and_then(|text| text.parse().ok());
        answer.body = body.to_vec();
        answer.is_complete = Some(body.len()) == length;
    }
}

/// Decodes a chunked body. Returns the data so far and whether the last chunk has arrived.
pub fn decode_chunks(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = rest.windows(2).position(|window| window == b"\r\n") else {
            return (body, false);
        };
        let size = String::from_utf8_lossy(&rest[..end]);
        let size = usize::from_str_radix(&size, 16).expect("a chunk size");
        let data = &rest[end + 2..];
        if size == 0 {
            return (body, data.starts_with(b"\r\n"));
        }
        if data.len() < size + 2 {
            body.extend_from_slice(&data[..data.len().min(size)]);
            return (body, false);
        }
        body.extend_from_slice(&data[..size]);
        rest = &data[size + 2..];
    }
}
