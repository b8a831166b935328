//! The task that owns the h2 connection to one peer.

use super::backoff::Backoff;
use super::error::{DeadlineSnafu, PeerError, UnreachableSnafu};
use super::exchange::{PeerPath, exchange, open_stream};
use super::relay::{RelayCall, RelayWriter};
use super::settings::{
    ACTIVE, CONNECT_TIMEOUT, CONNECTION_WINDOW_BYTES, PING_PERIOD, PING_TIMEOUT, QUIET_PING_PERIOD,
    STREAM_WINDOW_BYTES,
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

/// Why a connection is no longer used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    /// The peer or the network closed it, or pings are not answered.
    Lost,
    /// There was no work for a while.
    Idle,
    /// No handle is left.
    Stopped,
}

/// Serves the commands for one peer until there has been no work for a while.
pub(super) async fn run_peer(
    address: SocketAddr,
    settings: PeerSettings,
    mut work: mpsc::Receiver<PeerCommand>,
) {
    let idle = Duration::from_millis(settings.idle_close_ms);
    let mut backoff = Backoff::default();
    while let Ok(Some(command)) = timeout(idle, work.recv()).await {
        if !backoff.may_try(Instant::now()) {
            command.fail(UnreachableSnafu { address }.build());
            continue;
        }
        let Some((sender, connection)) = connect(address).await else {
            backoff.failed(Instant::now());
            command.fail(UnreachableSnafu { address }.build());
            continue;
        };
        backoff.succeeded();
        match run_connection(&settings, sender, connection, command, &mut work).await {
            Ended::Lost => debug!("connection to peer {address} lost"),
            Ended::Idle | Ended::Stopped => return,
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
) -> Ended {
    let credential = &settings.credential;
    let idle = Duration::from_millis(settings.idle_close_ms);
    let pings = connection.ping_pong();
    let (used, last_used) = watch::channel(Instant::now());
    let mut keepalive = std::pin::pin!(keep_alive(pings, last_used));
    let mut calls = FuturesUnordered::new();
    calls.push(serve(sender.clone(), Arc::clone(credential), first));
    let ended = loop {
        tokio::select! {
            _ = &mut connection => return Ended::Lost,
            () = &mut keepalive => return Ended::Lost,
            Some(()) = calls.next() => {}
            command = work.recv() => match command {
                Some(command) => {
                    used.send_replace(Instant::now());
                    calls.push(serve(sender.clone(), Arc::clone(credential), command));
                }
                None => break Ended::Stopped,
            },
            () = sleep(idle), if calls.is_empty() => break Ended::Idle,
        }
    };
    // Relayed requests that still run keep the connection open until they end.
    work.close();
    drop(sender);
    finish(connection, keepalive, calls).await;
    ended
}

async fn finish(
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

/// Ends when the peer has not answered a ping for [`PING_TIMEOUT`].
async fn keep_alive(pings: Option<PingPong>, mut last_used: watch::Receiver<Instant>) {
    let Some(mut pings) = pings else {
        return std::future::pending().await;
    };
    loop {
        if last_used.borrow_and_update().elapsed() < ACTIVE {
            sleep(PING_PERIOD).await;
        } else {
            // The next command starts the short period again.
            drop(timeout(QUIET_PING_PERIOD, last_used.changed()).await);
        }
        match timeout(PING_TIMEOUT, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(_)) | Err(_) => return,
        }
    }
}

async fn serve(sender: SendRequest<Bytes>, credential: Arc<str>, command: PeerCommand) {
    match command {
        PeerCommand::Call {
            to,
            request,
            deadline,
            mut reply,
        } => {
            let answer = async {
                let sender = sender.ready().await?;
                exchange(sender, &credential, &request).await
            };
            tokio::select! {
                result = within(to, deadline, answer) => drop(reply.send(result)),
                // The caller has stopped waiting.
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
            // The caller may have stopped waiting; the stream is then reset.
            drop(reply.send(within(to, deadline, open).await));
        }
    }
}

async fn within<T>(
    address: SocketAddr,
    deadline: Instant,
    work: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    match timeout_at(deadline, work).await {
        Ok(result) => result,
        Err(_) => DeadlineSnafu { address }.fail(),
    }
}
