//! The operator listener and its accept loop.

use super::OperatorContext;
use super::serve::serve_request;
use crate::control::edge::Clock;
use actix_http::{Error, HttpService, KeepAlive, Request};
use actix_service::{Service, ServiceFactory, fn_service};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The delay after a failed accept; while the process has no free file descriptors, accepting would
/// fail again at once.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The time limit for receiving a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// The listener for operators, bound to its address.
#[derive(Debug)]
pub struct OperatorListener {
    listener: TcpListener,
    address: SocketAddr,
    connections_max: usize,
}

impl OperatorListener {
    /// Binds the listener; with port 0 the operating system chooses the port.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the address cannot be bound.
    pub async fn bind(address: SocketAddr, connections_max: usize) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(Self {
            listener,
            address,
            connections_max,
        })
    }

    /// Returns the bound address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts connections until `stopped` is set, then waits until the requests in progress have
    /// their responses.
    pub async fn run<C: Clock + Clone + 'static>(
        self,
        context: OperatorContext<C>,
        mut stopped: watch::Receiver<bool>,
    ) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = self.listener.accept(), if connections.len() < self.connections_max => {
                    match accepted {
                        Ok((stream, _)) => {
                            connections.spawn_local(serve_connection(stream, context.clone()));
                        }
                        Err(error) => {
                            log::warn!("operator listener: accept failed: {error}");
                            sleep(ACCEPT_RETRY_DELAY).await;
                        }
                    }
                }
                Some(_) = connections.join_next() => {}
                // The wait also ends, with an error, when the sender is dropped.
                _ = stopped.wait_for(|stopped| *stopped) => break,
            }
        }
        drop(self.listener);
        while connections.join_next().await.is_some() {}
    }
}

/// Serves one connection, which carries one request.
///
/// Keep-alive is disabled, so that a daemon that is stopping has no idle connections to wait for.
async fn serve_connection<C: Clock + Clone + 'static>(
    stream: TcpStream,
    context: OperatorContext<C>,
) {
    let respond = fn_service(move |request: Request| {
        let context = context.clone();
        async move { Ok::<_, Error>(serve_request(context, request).await) }
    });
    let service = HttpService::build()
        .keep_alive(KeepAlive::Disabled)
        .client_request_timeout(HEAD_TIMEOUT)
        .finish(respond)
        .tcp();
    let Ok(service) = service.new_service(()).await else {
        return;
    };
    if let Err(error) = service.call(stream).await {
        log::debug!("operator connection failed: {error}");
    }
}
