//! The filter that accepts callers' connections.

use super::connection::CallerConnection;
use super::serve::RequestContext;
use log::warn;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// The pause after a failed accept, which fails again at once while file descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How far the daemon has come on its way to a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The daemon serves.
    Running,
    /// The daemon still accepts, but reports that it is not ready and closes answered connections.
    Leaving,
    /// The daemon no longer accepts, closes idle connections and finishes what is in flight.
    Closing,
}

/// Accepts connections until the daemon closes, and then waits up to `drain` for requests in
/// flight.
pub(crate) async fn run_listener(
    listener: TcpListener,
    context: RequestContext,
    phases: watch::Receiver<Phase>,
    connections_max: usize,
    drain: Duration,
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
                    warn!("callers' listener: accept failed: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            closing = phase.wait_for(|phase| *phase == Phase::Closing) => {
                // A dropped handle also stops the listener.
                drop(closing);
                break;
            }
        }
    }
    drop(listener);
    let finished = async { while connections.join_next().await.is_some() {} };
    if timeout(drain, finished).await.is_err() {
        warn!("{} callers' connections were cut off", connections.len());
    }
}
