//! Begins an execution if grant, slots and deadline allow it.

use super::execution::Execution;
use super::state_task::StateHandle;
use super::{Started, WorkHead};
use crate::serve::{error_reply, unavailable};
use actix_http::body::BoxBody;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Response, StatusCode};
use balsam_wire::upstream::{NotRunCause, headers};

/// An admitted request.
#[derive(Debug)]
pub(super) struct Admitted {
    pub(super) execution: Execution,
    pub(super) started: Started,
}

/// Begins the execution of `work`, or answers that it is not run.
pub(super) async fn admit(
    state: &StateHandle,
    work: &WorkHead,
) -> Result<Admitted, Response<BoxBody>> {
    let stopping = || unavailable("the upstream is stopping");
    let end = state.reserve_end().await.ok_or_else(stopping)?;
    let begun = state.begin(work.clone(), end).await;
    let begun = begun.ok_or_else(stopping)?.map_err(not_run)?;
    Ok(Admitted {
        execution: Execution::new(state.clone(), begun.end),
        started: begun.started,
    })
}

/// Answers that the request was not run.
pub(super) fn not_run(cause: NotRunCause) -> Response<BoxBody> {
    let mut response = error_reply(
        StatusCode::SERVICE_UNAVAILABLE,
        format!("not run: {}", cause.as_str()),
    );
    response.headers_mut().insert(
        HeaderName::from_static(headers::NOT_RUN),
        HeaderValue::from_static(cause.as_str()),
    );
    response
}
