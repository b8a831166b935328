//! The task that owns the caller listener.

use super::Phase;
use super::connection::service;
use crate::request::chain::EntryContext;
use actix_service::{Service, ServiceFactory};
use log::{debug, warn};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// The delay after a failed `accept`, which would otherwise fail again immediately while file
/// descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits of the caller listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AcceptSettings {
    /// The maximum number of concurrent connections. Further callers wait in the listener's
    /// backlog.
    pub(crate) connections_max: usize,
    /// The idle timeout of keep-alive connections, in milliseconds.
    pub(crate) keep_alive_ms: u64,
    /// The maximum time to wait for in-flight requests after the daemon has stopped accepting, in
    /// milliseconds.
    pub(crate) drain_ms: u64,
}

/// Accepts connections until the daemon closes its listener, and then waits for in-flight requests.
pub(crate) async fn run_listener(
    listener: TcpListener,
    entry: EntryContext,
    settings: AcceptSettings,
) {
    let mut phase = entry.phase.clone();
    let Ok(service) = service(entry, &settings).new_service(()).await else {
        return warn!("failed to create the caller connection service");
    };
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept(), if connections.len() < settings.connections_max => {
                match accepted {
                    Ok((socket, _)) => {
                        let connection = service.call(socket);
                        connections.spawn_local(async move {
                            // A caller that disconnects early is not an error of the daemon.
                            if connection.await.is_err() {
                                debug!("caller connection ended with an error");
                            }
                        });
                    }
                    Err(error) => {
                        warn!("caller listener: accept failed: {error}");
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            () = wait_for_closing(&mut phase) => break,
        }
    }
    drop(listener);
    let finished = async { while connections.join_next().await.is_some() {} };
    let drain = Duration::from_millis(settings.drain_ms);
    if timeout(drain, finished).await.is_err() {
        warn!(
            "closed {} caller connections that did not finish within the drain time",
            connections.len()
        );
    }
}

async fn wait_for_closing(phase: &mut watch::Receiver<Phase>) {
    // An error means that the stop handle was dropped, which also stops the listener.
    drop(phase.wait_for(|phase| *phase == Phase::Closing).await);
}
