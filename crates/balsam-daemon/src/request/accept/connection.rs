//! The HTTP/1.1 service of callers' connections.

use super::{AcceptSettings, probe};
use crate::request::answer::AnswerBody;
use crate::request::chain::{Entry, serve};
use actix_http::{Error, HttpService, Request, Response};
use actix_service::{ServiceFactory, fn_service};
use std::time::Duration;
use tokio::net::TcpStream;

/// The time that a caller has for the head of its first request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The time that a caller has to take the end of a refusal whose request it is still sending.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Makes the service of one connection.
///
/// Half-closed connections are not kept: a caller that closes its side is taken to have gone away,
/// which is the only sign of it that a request without a body gives.
pub(super) fn service(
    entry: Entry,
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

async fn answer(entry: Entry, request: Request) -> Result<Response<AnswerBody>, Error> {
    Ok(match probe::answer(&entry, &request) {
        Some(response) => response,
        None => serve(entry, request).await,
    })
}
