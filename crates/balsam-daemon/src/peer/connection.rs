//! The task that owns the HTTP/2 connection to one peer.

use super::backoff::Backoff;
use super::error::{DeadlineSnafu, PeerError, UnreachableSnafu};
use super::exchange::{PeerPath, exchange, open_stream};
use super::relay::{RelayCall, RelayWriter};
use super::settings::{
    CONNECT_TIMEOUT, CONNECTION_WINDOW_BYTES, IDLE_PING_INTERVAL, PING_INTERVAL, PING_TIMEOUT,
    RECENT_USE_WINDOW, STREAM_WINDOW_BYTES,
};
use super::{PeerCommand, PeerSettings};
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use h2::client::{Connection, SendRequest};
use h2::{Ping, PingPong};
use log::debug;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout, timeout_at};

type PeerConnection = Connection<TcpStream, Bytes>;

/// Why a connection takes no more commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// The peer or the network closed the connection, or the peer does not reply to pings.
    Lost,
    /// No command arrived and no call ran for the idle time-out.
    Idle,
    /// All handles that send commands have been dropped.
    AllHandlesDropped,
}

/// Executes the commands for one peer until none has arrived for the idle time-out.
///
/// If the connection is lost, the next command opens a new one, unless the backoff delay is still
/// running.
pub(super) async fn run_peer(
    address: SocketAddr,
    settings: PeerSettings,
    mut work: mpsc::Receiver<PeerCommand>,
) {
    let idle_timeout = Duration::from_millis(settings.idle_close_ms);
    let mut backoff = Backoff::default();
    while let Ok(Some(command)) = timeout(idle_timeout, work.recv()).await {
        if !backoff.may_attempt(Instant::now()) {
            command.fail(UnreachableSnafu { address }.build());
            continue;
        }
        let Some((sender, connection)) = connect(address).await else {
            backoff.record_failure(Instant::now());
            command.fail(UnreachableSnafu { address }.build());
            continue;
        };
        backoff.record_success();
        match run_connection(&settings, sender, connection, command, &mut work).await {
            CloseReason::Lost => debug!("connection to peer {address} lost"),
            CloseReason::Idle | CloseReason::AllHandlesDropped => return,
        }
    }
}

async fn connect(address: SocketAddr) -> Option<(SendRequest<Bytes>, PeerConnection)> {
    let open = async {
        let socket = TcpStream::connect(address).await.ok()?;
        socket.set_nodelay(true).ok()?;
        h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .enable_push(false)
            .handshake(socket)
            .await
            .ok()
    };
    timeout(CONNECT_TIMEOUT, open).await.ok().flatten()
}

async fn run_connection(
    settings: &PeerSettings,
    sender: SendRequest<Bytes>,
    mut connection: PeerConnection,
    first: PeerCommand,
    work: &mut mpsc::Receiver<PeerCommand>,
) -> CloseReason {
    let credential = &settings.credential;
    let idle_timeout = Duration::from_millis(settings.idle_close_ms);
    let pings = connection.ping_pong();
    let (last_used_sender, last_used) = watch::channel(Instant::now());
    let mut keepalive = std::pin::pin!(keep_alive(pings, last_used));
    let mut calls = FuturesUnordered::new();
    calls.push(execute(sender.clone(), Arc::clone(credential), first));
    let close_reason = loop {
        tokio::select! {
            _ = &mut connection => return CloseReason::Lost,
            () = &mut keepalive => return CloseReason::Lost,
            Some(()) = calls.next() => {}
            command = work.recv() => match command {
                Some(command) => {
                    last_used_sender.send_replace(Instant::now());
                    calls.push(execute(sender.clone(), Arc::clone(credential), command));
                }
                None => break CloseReason::AllHandlesDropped,
            },
            () = sleep(idle_timeout), if calls.is_empty() => break CloseReason::Idle,
        }
    };
    // Calls that still run, and the streams of relayed requests, keep the connection open until
    // they end.
    work.close();
    drop(sender);
    drain_calls(connection, keepalive, calls).await;
    close_reason
}

async fn drain_calls(
    connection: PeerConnection,
    keepalive: Pin<&mut impl Future<Output = ()>>,
    mut calls: FuturesUnordered<impl Future<Output = ()>>,
) {
    let mut connection = std::pin::pin!(connection);
    let mut keepalive = keepalive;
    loop {
        tokio::select! {
            _ = &mut connection => return,
            () = &mut keepalive => return,
            Some(()) = calls.next() => {}
        }
    }
}

/// Sends pings, and returns when the peer has not replied to one for [`PING_TIMEOUT`].
async fn keep_alive(pings: Option<PingPong>, mut last_used: watch::Receiver<Instant>) {
    let Some(mut pings) = pings else {
        return std::future::pending().await;
    };
    loop {
        if last_used.borrow_and_update().elapsed() < RECENT_USE_WINDOW {
            sleep(PING_INTERVAL).await;
        } else {
            // The next command switches back to the short interval at once.
            drop(timeout(IDLE_PING_INTERVAL, last_used.changed()).await);
        }
        match timeout(PING_TIMEOUT, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(_)) | Err(_) => return,
        }
    }
}

async fn execute(sender: SendRequest<Bytes>, credential: Arc<str>, command: PeerCommand) {
    match command {
        PeerCommand::Call {
            to,
            request,
            deadline,
            mut reply,
        } => {
            let call = async {
                let sender = sender.ready().await?;
                exchange(sender, &credential, &request).await
            };
            tokio::select! {
                result = with_deadline(to, deadline, call) => drop(reply.send(result)),
                // The caller has stopped waiting for the result.
                () = reply.closed() => {}
            }
        }
        PeerCommand::Relay {
            to,
            deadline,
            reply,
        } => {
            let open = async {
                let mut sender = sender.ready().await?;
                let (response, stream) = open_stream(&mut sender, PeerPath::Relay, &credential)?;
                let writer = RelayWriter::new(stream);
                Ok(RelayCall { writer, response })
            };
            // If the caller has stopped waiting, the stream is dropped, which resets it.
            drop(reply.send(with_deadline(to, deadline, open).await));
        }
    }
}

async fn with_deadline<T>(
    address: SocketAddr,
    deadline: Instant,
    work: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    match timeout_at(deadline, work).await {
        Ok(result) => result,
        Err(_) => DeadlineSnafu { address }.fail(),
    }
}
