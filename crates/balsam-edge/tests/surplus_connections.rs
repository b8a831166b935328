//! An upstream that resets the connections beyond those that it takes.

mod support;

use std::net::SocketAddr;
use support::{Behavior, Caller, Store, Upstream, entry, rows, start_at, upstream_row, wait_ready};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Starts an upstream that reads the request on its first connection and closes it without a
/// response, and then resets each further connection at once.
async fn start_overloaded() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        let (mut first, _) = listener.accept().await.expect("a connection");
        let length = first.read(&mut [0; 4_096]).await.expect("a request");
        assert!(length > 0);
        drop(first);
        loop {
            let (surplus, _) = listener.accept().await.expect("a connection");
            // Closing without lingering sends a reset.
            surplus.set_zero_linger().expect("a socket option");
        }
    });
    address
}

/// An order whose connection is reset before it is sent has not run. The caller must be told so,
/// because it cannot repeat the order otherwise.
#[actix_rt::test]
async fn never_sent() {
    let named = Upstream::start("u1", &[Behavior::Respond]).await;
    let mut overloaded = entry(&named);
    overloaded.address = start_overloaded().await;
    let store = Store::start(rows(&[]));
    store.put(upstream_row(overloaded));
    let edge = start_at(&store, 1).await;
    wait_ready(&edge).await;
    let mut caller = Caller::open(edge.addresses().callers).await;
    caller.request("POST", "/order/x", "o1").await;
    assert_eq!(caller.response().await.0, 502, "the first order was read");
    for order in ["o2", "o3"] {
        caller.request("POST", "/order/x", order).await;
        assert_eq!(caller.response().await.0, 503, "{order}");
    }
}
