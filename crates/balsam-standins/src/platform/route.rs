//! Turns HTTP requests into messages to the state.

use super::PlatformRequest;
use crate::serve::{BodyError, bad_request, error_reply, read_body, read_json};
use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use balsam_wire::platform::{
    COUNTERS_PATH, FAULTS_PATH, INSTANCES_PATH, OBJECTS_PATH, READ_PATH, TX_PATH,
};
use std::sync::Arc;

/// The largest request body; a snapshot of the control state is the largest in use.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Reads `request` into a message, or answers it with an error.
pub(super) async fn route(request: &mut Request) -> Result<PlatformRequest, Response<BoxBody>> {
    let method = request.method().clone();
    let path = request.path().to_owned();
    let object = path
        .strip_prefix(OBJECTS_PATH)
        .filter(|name| !name.is_empty());
    let routed = match (method, path.as_str(), object) {
        (Method::POST, TX_PATH, _) => json(request).await.map(PlatformRequest::Transact),
        (Method::POST, READ_PATH, _) => json(request).await.map(PlatformRequest::Read),
        (Method::GET, INSTANCES_PATH, _) => Ok(PlatformRequest::Instances),
        (Method::POST, INSTANCES_PATH, _) => {
            json(request).await.map(PlatformRequest::ChangeInstances)
        }
        (Method::GET, FAULTS_PATH, _) => Ok(PlatformRequest::Faults),
        (Method::POST, FAULTS_PATH, _) => json(request).await.map(PlatformRequest::SetFaults),
        (Method::GET, COUNTERS_PATH, _) => Ok(PlatformRequest::Counters),
        (Method::GET, _, Some(name)) => Ok(PlatformRequest::GetObject {
            name: Arc::from(name),
        }),
        (Method::PUT, _, Some(name)) => {
            let name = Arc::from(name);
            let body = read_body(request, MAX_BODY_BYTES).await;
            body.map(|bytes| PlatformRequest::PutObject { name, bytes })
        }
        _ => {
            return Err(error_reply(
                StatusCode::NOT_FOUND,
                format!("path {path}: not known"),
            ));
        }
    };
    routed.map_err(bad_request)
}

async fn json<T: serde::de::DeserializeOwned>(request: &mut Request) -> Result<T, BodyError> {
    read_json(request, MAX_BODY_BYTES).await
}
