//! Heads that arrive byte by byte must not hold a connection for longer than the stated limits.

mod support;

use std::net::SocketAddr;
use std::time::Duration;
use support::{Behavior, Upstream, start};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The interval between two bytes, which is far below each limit on pauses.
const BYTE_INTERVAL: Duration = Duration::from_millis(250);

/// The longest time for the head of a request: the default limit, the margin for the time that
/// bytes are on their way, and a margin for a busy machine.
const CALLER_ENDS_WITHIN: Duration = Duration::from_secs(3 + 5 + 5);

/// The longest time for the head of a call to the metrics or readiness listener, with a margin for
/// a busy machine.
const ADMIN_ENDS_WITHIN: Duration = Duration::from_secs(10 + 5);

/// Sends a head without end, byte by byte. Returns what was received until the connection ended.
async fn send_slowly(address: SocketAddr, ends_within: Duration) -> String {
    let (mut read, mut write) = TcpStream::connect(address)
        .await
        .expect("open")
        .into_split();
    let sender = async {
        let mut result = write.write_all(b"GET / HTTP/1.1\r\nX: ").await;
        while result.is_ok() {
            sleep(BYTE_INTERVAL).await;
            result = write.write_all(b"y").await;
        }
        std::future::pending::<()>().await;
    };
    let mut received = Vec::new();
    tokio::select! {
        () = sender => {}
        ended = timeout(ends_within, read.read_to_end(&mut received)) => {
            drop(ended.expect("the end in time"));
        }
    }
    String::from_utf8_lossy(&received).into_owned()
}

/// Guards against callers that occupy a connection for hours with one head.
#[actix_rt::test]
async fn caller_head() {
    let upstream = Upstream::start("u1", &[Behavior::Respond]).await;
    let edge = start(Some(&[&upstream])).await;
    let response = send_slowly(edge.addresses().callers, CALLER_ENDS_WITHIN).await;
    assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
}

/// Guards against clients that occupy a connection of the metrics or readiness listener for hours.
#[actix_rt::test]
async fn admin_head() {
    let upstream = Upstream::start("u1", &[Behavior::Respond]).await;
    let edge = start(Some(&[&upstream])).await;
    for address in [edge.addresses().metrics, edge.addresses().readiness] {
        let response = send_slowly(address, ADMIN_ENDS_WITHIN).await;
        assert_eq!(response, "");
    }
}
