//! The platform's server.

use super::answer::answer;
use super::fault::fault;
use super::route::route;
use super::state_task::{StateHandle, spawn_state};
use crate::serve::{ConnectionCloser, ConnectionLimits, ServerHandle, bind, serve, unavailable};
use actix_http::body::BoxBody;
use actix_http::{Request, Response};
use std::io;
use std::net::SocketAddr;

/// Starts a platform on `listen` in tasks of the current thread.
///
/// # Errors
///
/// Returns the error of the socket calls.
pub async fn start_platform(listen: SocketAddr) -> io::Result<ServerHandle> {
    let listener = bind(listen).await?;
    let state = spawn_state();
    serve(
        listener,
        ConnectionLimits::default(),
        move |request, closer| respond(state.clone(), request, closer),
    )
}

async fn respond(
    state: StateHandle,
    mut request: Request,
    closer: ConnectionCloser,
) -> Response<BoxBody> {
    let message = match route(&mut request).await {
        Ok(message) => message,
        Err(response) => return response,
    };
    if let Some(response) = fault(&state, &message, &closer).await {
        return response;
    }
    match state.apply(message).await {
        Some(reply) => answer(reply, &closer).await,
        None => unavailable("the platform is stopping"),
    }
}
