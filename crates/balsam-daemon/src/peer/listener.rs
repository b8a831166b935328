//! The task that owns the peer listener, and the tasks that each own one accepted connection.

use super::incoming::serve_stream;
use super::settings::{
    CONNECTION_WINDOW_BYTES, STREAM_HEADERS_MAX_BYTES, STREAM_WINDOW_BYTES, STREAMS_MAX,
};
use super::{IncomingControl, IncomingRelay, PeerSettings};
use log::{debug, warn};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The delay after a failed accept; while the process has no free file descriptors, accepting would
/// fail again at once.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The channels to which the listener sends the requests of peers.
#[derive(Clone, Debug)]
pub struct PeerChannels {
    /// The channel for control requests.
    pub control: mpsc::Sender<IncomingControl>,
    /// The channel for relayed requests.
    pub relays: mpsc::Sender<IncomingRelay>,
}

/// A handle of the running listener; dropping it stops the listener.
#[derive(Debug)]
pub struct ListenerHandle {
    /// The address on which the listener is bound.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
}

impl ListenerHandle {
    /// Stops accepting connections and streams, and waits until the running streams have ended.
    pub async fn stop(self) {
        // Sending fails only if the listener task has already ended.
        if self.stop.send(true).is_ok() {
            self.stop.closed().await;
        }
    }
}

/// Binds the peer listener and starts its task.
///
/// # Errors
///
/// Returns the operating system's error if the address cannot be bound.
pub async fn start_listener(
    address: SocketAddr,
    settings: PeerSettings,
    channels: PeerChannels,
) -> io::Result<ListenerHandle> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(run_listener(listener, settings, channels, stopped));
    Ok(ListenerHandle { address, stop })
}

async fn run_listener(
    listener: TcpListener,
    settings: PeerSettings,
    channels: PeerChannels,
    stopped: watch::Receiver<bool>,
) {
    let mut stop = stopped.clone();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept(), if connections.len() < settings.connections_max => {
                match accepted {
                    Ok((socket, _)) => {
                        let connection =
                            serve_connection(socket, settings.clone(), channels.clone(), stopped.clone());
                        connections.spawn(connection);
                    }
                    Err(error) => {
                        warn!("peer listener: accept failed: {error}");
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            () = wait_until_stopped(&mut stop) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(
    socket: TcpStream,
    settings: PeerSettings,
    channels: PeerChannels,
    mut stopped: watch::Receiver<bool>,
) {
    if let Err(error) = socket.set_nodelay(true) {
        debug!("peer connection: {error}");
        return;
    }
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(STREAMS_MAX)
        .max_header_list_size(STREAM_HEADERS_MAX_BYTES)
        .handshake(socket)
        .await;
    let mut connection = match handshake {
        Ok(connection) => connection,
        Err(error) => {
            debug!("peer connection: {error}");
            return;
        }
    };
    let mut stopping = false;
    loop {
        tokio::select! {
            accepted = connection.accept() => match accepted {
                Some(Ok((request, respond))) => {
                    let credential = Arc::clone(&settings.credential);
                    tokio::spawn(serve_stream(credential, channels.clone(), request, respond));
                }
                Some(Err(error)) => {
                    debug!("peer connection: {error}");
                    return;
                }
                None => return,
            },
            () = wait_until_stopped(&mut stopped), if !stopping => {
                stopping = true;
                connection.graceful_shutdown();
            }
        }
    }
}

async fn wait_until_stopped(stopped: &mut watch::Receiver<bool>) {
    // The wait also ends, with an error, when the handle is dropped.
    drop(stopped.wait_for(|stopped| *stopped).await);
}
