//! The upstream's server.

use super::UpstreamOptions;
use super::admit::admit;
use super::answer::answer;
use super::control::{answer_control, control_request};
use super::identify::identify;
use super::perform::perform;
use super::state_task::{StateHandle, spawn_state};
use crate::serve::{ConnectionCloser, ConnectionLimits, ServerHandle, bad_request, bind, serve};
use actix_http::body::BoxBody;
use actix_http::{Request, Response};
use balsam_types::Incarnation;
use std::io;
use std::sync::Arc;

/// Starts an upstream in tasks of the current thread.
///
/// # Errors
///
/// Returns the error of the socket calls.
pub async fn start_upstream(options: UpstreamOptions) -> io::Result<ServerHandle> {
    let listener = bind(options.listen).await?;
    let limits = ConnectionLimits {
        connections: options.connections,
        connect_ms: options.connect_ms,
    };
    let options = Arc::new(options);
    let state = spawn_state(Incarnation(rand::random()), Arc::clone(&options));
    serve(listener, limits, move |request, closer| {
        respond(Arc::clone(&options), state.clone(), request, closer)
    })
}

async fn respond(
    options: Arc<UpstreamOptions>,
    state: StateHandle,
    mut request: Request,
    closer: ConnectionCloser,
) -> Response<BoxBody> {
    if let Some(control) = control_request(&mut request).await {
        return answer_control(&state, control, options.probe_ms, &closer).await;
    }
    match work(&options, &state, request, &closer).await {
        Ok(response) | Err(response) => response,
    }
}

async fn work(
    options: &UpstreamOptions,
    state: &StateHandle,
    request: Request,
    closer: &ConnectionCloser,
) -> Result<Response<BoxBody>, Response<BoxBody>> {
    let head = identify(&request).map_err(bad_request)?;
    let admitted = admit(state, &head).await?;
    let performed = perform(options, &head, admitted, request, closer).await?;
    Ok(answer(options, &head, performed))
}
