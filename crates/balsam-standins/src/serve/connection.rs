//! One accepted connection.

use actix_http::body::BoxBody;
use actix_http::{Error, HttpService, KeepAlive, Request, Response};
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory, fn_service};
use std::time::Duration;
use tokio::sync::mpsc;

/// How long an idle connection stays open; longer than the callers' own limit.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// How long a started request head may take to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Closes a connection without an answer.
#[derive(Clone, Debug)]
pub struct ConnectionCloser(mpsc::Sender<()>);

impl ConnectionCloser {
    /// Closes the connection; the returned future is dropped with it and never ends.
    pub async fn close(&self) -> Response<BoxBody> {
        // A full channel means that the connection is being closed already.
        let _ = self.0.try_send(());
        std::future::pending().await
    }
}

/// Serves the requests of one connection until it ends or a handler closes it.
pub(super) async fn serve_connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request, ConnectionCloser) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let (close, mut close_wanted) = mpsc::channel(1);
    let closer = ConnectionCloser(close);
    let respond = fn_service(move |request: Request| {
        let response = handler(request, closer.clone());
        async move { Ok::<_, Error>(response.await) }
    });
    let service = HttpService::build()
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
        .client_request_timeout(HEAD_TIMEOUT)
        // A caller that closes its connection cancels its request.
        .h1_allow_half_closed(false)
        .tcp_nodelay(true)
        .finish(respond)
        .tcp();
    let Ok(service) = service.new_service(()).await else {
        return;
    };
    tokio::select! {
        result = service.call(stream) => {
            if let Err(error) = result {
                log::debug!("connection ended: {error}");
            }
        }
        Some(()) = close_wanted.recv() => {}
    }
}
