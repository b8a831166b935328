//! A caller that works on the bytes of its connection.

use balsam_http1::{BodyStep, ParsedResponseHead, parse_response};
use bytes::{Bytes, BytesMut};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time limit for each read.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause between two writes that show whether the connection was reset.
const WRITE_PAUSE: Duration = Duration::from_millis(10);

pub struct Caller {
    stream: TcpStream,
    buffer: BytesMut,
}

impl Caller {
    pub async fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("a connection");
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    pub async fn send(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .await
            .expect("a sent request");
    }

    /// Sends a request without a body.
    pub async fn request(&mut self, method: &str, path: &str, id: &str) {
        let head = format!("{method} {path} HTTP/1.1\r\nHost: h.example\r\nTest-Id: {id}\r\n\r\n");
        self.send(&head).await;
    }

    /// Reads a response with its whole body.
    pub async fn response(&mut self) -> (u16, ParsedResponseHead, Bytes) {
        let mut head = loop {
            if let Some(head) = parse_response(&mut self.buffer, false).expect("a response") {
                break head;
            }
            assert!(
                self.fill().await > 0,
                "the connection ended without a response"
            );
        };
        let mut body = BytesMut::new();
        loop {
            match head.body.step(&mut self.buffer).expect("a body") {
                BodyStep::Chunk(bytes) => body.extend_from_slice(&bytes),
                BodyStep::End => return (head.status, head, body.freeze()),
                BodyStep::NeedMore => assert!(self.fill().await > 0, "the body was truncated"),
            }
        }
    }

    /// Waits for the end of the connection. Returns the bytes that came before it.
    pub async fn end(mut self) -> Bytes {
        while self.fill().await > 0 {}
        self.buffer.freeze()
    }

    /// Waits until the daemon has closed its side of the connection.
    pub async fn wait_closed(&mut self) {
        assert_eq!(self.fill().await, 0, "bytes in place of a close");
    }

    /// Returns whether the daemon resets the connection within `limit`.
    pub async fn is_reset_within(&mut self, limit: Duration) -> bool {
        let reset = async {
            while self.stream.write_all(b"\r\n").await.is_ok() {
                sleep(WRITE_PAUSE).await;
            }
        };
        timeout(limit, reset).await.is_ok()
    }

    async fn fill(&mut self) -> usize {
        let read = self.stream.read_buf(&mut self.buffer);
        timeout(READ_TIMEOUT, read)
            .await
            .expect("bytes in time")
            .unwrap_or(0)
    }
}
