//! Turns the state's replies into HTTP answers.

use super::PlatformReply;
use crate::serve::{ConnectionCloser, bytes_reply, error_reply, json_reply};
use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};

/// Answers with `reply`, or closes the connection if the answer must be lost.
pub(super) async fn answer(reply: PlatformReply, closer: &ConnectionCloser) -> Response<BoxBody> {
    match reply {
        PlatformReply::LostAnswer => closer.close().await,
        PlatformReply::Tx(response) => json_reply(StatusCode::OK, &response),
        PlatformReply::Rows(response) => json_reply(StatusCode::OK, &response),
        PlatformReply::Done => json_reply(StatusCode::OK, &serde_json::json!({})),
        PlatformReply::Object(Some(bytes)) => bytes_reply(bytes),
        PlatformReply::Object(None) => error_reply(StatusCode::NOT_FOUND, "object: not found"),
        PlatformReply::Instances(list) => json_reply(StatusCode::OK, &list),
        PlatformReply::Faults(faults) => json_reply(StatusCode::OK, &faults),
        PlatformReply::Counters(counters) => json_reply(StatusCode::OK, &counters),
    }
}
