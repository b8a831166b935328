//! The HTTP/1.1 service for caller connections.

use super::{AcceptSettings, probe};
use crate::request::answer::AnswerBody;
use crate::request::chain::{EntryContext, serve};
use actix_http::{Error, HttpService, Request, Response};
use actix_service::{ServiceFactory, fn_service};
use std::time::Duration;
use tokio::net::TcpStream;

/// The time limit for receiving the head of a connection's first request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The time limit for a caller to read the end of a refusal while it is still sending its request.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Creates the factory of the connection service.
///
/// Half-closed connections are not kept. A caller that closes its sending side is treated as
/// disconnected, because that is the only sign of a disconnect during a request without a body.
pub(super) fn service(
    entry: EntryContext,
    settings: &AcceptSettings,
) -> impl ServiceFactory<TcpStream, Config = (), Response = (), InitError = ()> + use<> {
    HttpService::build()
        .keep_alive(Duration::from_millis(settings.keep_alive_ms))
        .client_request_timeout(HEAD_TIMEOUT)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .h1_allow_half_closed(false)
        .tcp_nodelay(true)
        .finish(fn_service(move |request: Request| {
            answer(entry.clone(), request)
        }))
        .tcp()
}

async fn answer(entry: EntryContext, request: Request) -> Result<Response<AnswerBody>, Error> {
    Ok(match probe::answer(&entry, &request) {
        Some(response) => response,
        None => serve(entry, request).await,
    })
}
