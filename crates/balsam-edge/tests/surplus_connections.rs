//! Connections that an upstream resets because it has too many.

use balsam_edge::http::Connection;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Time limit of each step, long enough for a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// A reset that arrives after the connection was opened must be noticed before a request is sent
/// on it: an order that was sent may have run, and its caller cannot repeat it.
#[actix_rt::test]
async fn reset_after_opening() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        let (surplus, _) = listener.accept().await.expect("a connection");
        sleep(Duration::from_millis(20)).await;
        // Closing without lingering sends a reset.
        surplus.set_zero_linger().expect("a socket option");
    });
    let connection = Connection::open(address, STEP_TIMEOUT).await;
    let connection = connection.expect("an open connection");
    assert!(connection.is_reusable(), "the reset comes later");
    assert!(!connection.settle(STEP_TIMEOUT).await);
}

/// A connection that the upstream keeps open must carry the request.
#[actix_rt::test]
async fn stays_open() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let connection = Connection::open(address, STEP_TIMEOUT).await;
    let connection = connection.expect("an open connection");
    let _accepted = listener.accept().await.expect("a connection");
    assert!(connection.settle(Duration::from_millis(20)).await);
}
