//! The task that owns the callers' listener.

use super::Phase;
use super::connection::service;
use crate::request::chain::Entry;
use actix_service::{Service, ServiceFactory};
use log::{debug, warn};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// The pause after a failed accept, which fails again at once while file descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bounds of the callers' listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AcceptSettings {
    /// Connections that are held at once; further callers wait in the listener's backlog.
    pub(crate) connections_max: usize,
    /// How long an idle connection is kept, in milliseconds.
    pub(crate) keep_alive_ms: u64,
    /// How long requests in flight may take after the daemon stopped accepting, in milliseconds.
    pub(crate) drain_ms: u64,
}

/// Accepts connections until the daemon stops, and then waits for requests in flight.
pub(crate) async fn run_listener(listener: TcpListener, entry: Entry, settings: AcceptSettings) {
    let mut phase = entry.phase.clone();
    let Ok(service) = service(entry, &settings).new_service(()).await else {
        return warn!("the callers' service cannot be made");
    };
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept(), if connections.len() < settings.connections_max => {
                match accepted {
                    Ok((socket, _)) => {
                        let connection = service.call(socket);
                        connections.spawn_local(async move {
                            // A caller that breaks off is no fault of the daemon.
                            if connection.await.is_err() {
                                debug!("a caller's connection ended early");
                            }
                        });
                    }
                    Err(error) => {
                        warn!("callers' listener: accept failed: {error}");
                        sleep(ACCEPT_PAUSE).await;
                    }
                }
            }
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            () = until_closing(&mut phase) => break,
        }
    }
    drop(listener);
    let finished = async { while connections.join_next().await.is_some() {} };
    let drain = Duration::from_millis(settings.drain_ms);
    if timeout(drain, finished).await.is_err() {
        warn!("{} callers' connections were cut off", connections.len());
    }
}

async fn until_closing(phase: &mut watch::Receiver<Phase>) {
    // A dropped handle also stops the listener.
    drop(phase.wait_for(|phase| *phase == Phase::Closing).await);
}
