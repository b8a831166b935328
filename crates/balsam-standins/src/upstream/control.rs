//! The control paths of an upstream.

use super::state_task::StateHandle;
use super::{ControlReply, ControlRequest};
use crate::serve::{BodyError, ConnectionCloser, bad_request, json_reply, read_json, unavailable};
use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use balsam_wire::upstream::{
    DRAIN_PATH, FAULTS_PATH, GRANT_PATH, GrantRequest, GrantResponse, HEALTH_PATH, JOURNAL_PATH,
    LOAD_PATH, REVOKE_PATH, RevokeRequest, RevokeResponse,
};
use serde::Serialize;
use std::time::Duration;

/// The largest control request; a full grant of a thousand units takes 20 KB.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// How long a request without an answer keeps its connection.
const SILENCE: Duration = Duration::from_mins(2);

/// Reads a control request; `None` if the path is one of work.
pub(super) async fn control_request(
    request: &mut Request,
) -> Option<Result<ControlRequest, BodyError>> {
    let method = request.method().clone();
    let path = request.path().to_owned();
    Some(match (method, path.as_str()) {
        (Method::POST, GRANT_PATH) => json::<GrantRequest>(request)
            .await
            .map(|grant| ControlRequest::Grant(grant.into())),
        (Method::POST, REVOKE_PATH) => json::<RevokeRequest>(request)
            .await
            .map(|revoke| ControlRequest::Revoke(revoke.into())),
        (Method::GET, HEALTH_PATH) => Ok(ControlRequest::Health),
        (Method::GET, LOAD_PATH) => Ok(ControlRequest::Load),
        (Method::POST, DRAIN_PATH) => Ok(ControlRequest::Drain),
        (Method::GET, JOURNAL_PATH) => Ok(ControlRequest::Journal),
        (Method::GET, FAULTS_PATH) => Ok(ControlRequest::Faults),
        (Method::POST, FAULTS_PATH) => json(request).await.map(ControlRequest::SetFaults),
        _ => return None,
    })
}

async fn json<T: serde::de::DeserializeOwned>(request: &mut Request) -> Result<T, BodyError> {
    read_json(request, MAX_BODY_BYTES).await
}

/// Answers a control request.
pub(super) async fn answer_control(
    state: &StateHandle,
    request: Result<ControlRequest, BodyError>,
    probe_ms: u64,
    closer: &ConnectionCloser,
) -> Response<BoxBody> {
    let request = match request {
        Ok(request) => request,
        Err(error) => return bad_request(error),
    };
    if probe_ms > 0 {
        actix_rt::time::sleep(Duration::from_millis(probe_ms)).await;
    }
    match state.control(request).await {
        None => unavailable("the upstream is stopping"),
        Some(ControlReply::Silence) => {
            actix_rt::time::sleep(SILENCE).await;
            closer.close().await
        }
        Some(ControlReply::Grant(reply)) => ok(&GrantResponse::from(reply)),
        Some(ControlReply::Revoke(reply)) => ok(&RevokeResponse::from(reply)),
        Some(ControlReply::Health(report)) => ok(&report),
        Some(ControlReply::Load(report)) => ok(&report),
        Some(ControlReply::Drain(report)) => ok(&report),
        Some(ControlReply::Journal(journal)) => ok(&journal),
        Some(ControlReply::Faults(faults)) => ok(&faults),
    }
}

fn ok(body: &impl Serialize) -> Response<BoxBody> {
    json_reply(StatusCode::OK, body)
}
