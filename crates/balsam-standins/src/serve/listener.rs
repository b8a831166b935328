//! The accept loop.

use super::ConnectionCloser;
use super::connection::serve_connection;
use actix_http::body::BoxBody;
use actix_http::{Request, Response};
use actix_rt::net::{TcpListener, TcpStream};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, JoinSet};

/// Pause after a failed accept, which is usually a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Limits of the connections of one server.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Open connections; further ones are closed at once.
    pub connections: usize,
    /// Time that each new connection costs before its first request, in milliseconds.
    pub connect_ms: u64,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            connect_ms: 0,
        }
    }
}

/// A running server; dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl ServerHandle {
    /// Returns the address that the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server and waits until its connections are closed.
    pub async fn stop(self) {
        drop(self.stop);
        if let Err(error) = self.task.await {
            log::error!("accept loop failed: {error}");
        }
    }
}

/// Binds a listener; port 0 lets the system choose one.
///
/// # Errors
///
/// Returns the error of the socket calls.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves `listener` with `handler` in a task of the current thread.
///
/// # Errors
///
/// Returns an error if the listener has no address.
pub fn serve<H, F>(
    listener: TcpListener,
    limits: ConnectionLimits,
    handler: H,
) -> io::Result<ServerHandle>
where
    H: Fn(Request, ConnectionCloser) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let address = listener.local_addr()?;
    let (stop, stopped) = oneshot::channel();
    let task = actix_rt::spawn(accept_loop(listener, limits, handler, stopped));
    Ok(ServerHandle {
        address,
        stop,
        task,
    })
}

async fn accept_loop<H, F>(
    listener: TcpListener,
    limits: ConnectionLimits,
    handler: H,
    mut stopped: oneshot::Receiver<()>,
) where
    H: Fn(Request, ConnectionCloser) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = &mut stopped => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if connections.len() < limits.connections => {
                    let handler = handler.clone();
                    connections.spawn_local(open(stream, limits.connect_ms, handler));
                }
                Ok(_) => log::debug!("connection refused: {} are open", connections.len()),
                Err(error) => {
                    log::warn!("accept failed: {error}");
                    actix_rt::time::sleep(ACCEPT_PAUSE).await;
                }
            },
        }
    }
    connections.shutdown().await;
}

async fn open<H, F>(stream: TcpStream, connect_ms: u64, handler: H)
where
    H: Fn(Request, ConnectionCloser) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    if connect_ms > 0 {
        actix_rt::time::sleep(Duration::from_millis(connect_ms)).await;
    }
    serve_connection(stream, handler).await;
}
