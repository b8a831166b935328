//! The filter that accepts connections of callers.

use super::connection::CallerConnection;
use super::serve::RequestContext;
use log::warn;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Pause after a failed accept. Without it, accept would fail again at once while file descriptors
/// are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Phase of the daemon's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The daemon serves requests.
    Running,
    /// The daemon still accepts connections, but reports that it is not ready and closes each
    /// connection after its last response.
    Leaving,
    /// The daemon no longer accepts connections, closes idle ones and completes the requests in
    /// flight.
    Closing,
}

/// Accepts connections until the closing phase, and then waits up to `drain_timeout` for the
/// requests in flight.
pub(crate) async fn run_listener(
    listener: TcpListener,
    context: RequestContext,
    phases: watch::Receiver<Phase>,
    connections_max: usize,
    drain_timeout: Duration,
) {
    let mut phase = phases.clone();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept(), if connections.len() < connections_max => match accepted {
                Ok((stream, _)) => {
                    let connection = CallerConnection::new(stream, context.clone(), phases.clone());
                    connections.spawn_local(connection.run());
                }
                Err(error) => {
                    warn!("caller listener: accept failed: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            closing = phase.wait_for(|phase| *phase == Phase::Closing) => {
                // The listener also stops if the daemon's handle was dropped.
                drop(closing);
                break;
            }
        }
    }
    drop(listener);
    let finished = async { while connections.join_next().await.is_some() {} };
    if timeout(drain_timeout, finished).await.is_err() {
        warn!(
            "drain timed out: closing {} caller connections",
            connections.len()
        );
    }
}
