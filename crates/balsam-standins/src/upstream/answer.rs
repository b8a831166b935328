//! Answers a request whose effect took place.

use super::execution::Execution;
use super::perform::Performed;
use super::{ByteRange, Content, Finish, Identity, UpstreamOptions, WorkHead, wanted_range};
use crate::serve::error_reply;
use actix_http::body::{BoxBody, SizedStream};
use actix_http::header::{
    ACCEPT_RANGES, CONTENT_RANGE, CONTENT_TYPE, ETAG, HeaderMap, HeaderName, HeaderValue,
};
use actix_http::{Response, StatusCode};
use balsam_types::KeyHash;
use balsam_wire::upstream::{AbortCause, AnswerFault, headers};
use bytes::Bytes;
use futures_util::stream::{self, Stream};
use snafu::Snafu;
use std::time::Duration;

/// An answer that is cut short by closing its connection.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("answer cut short: {cause:?}"))]
struct CutShort {
    cause: AbortCause,
}

#[derive(Debug)]
struct Streaming {
    execution: Execution,
    content: Content,
    next: u64,
    end: u64,
    /// The position at which a fault switch cuts the answer.
    cut_at: Option<u64>,
    chunk_bytes: u64,
    chunk_ms: u64,
}

/// Answers with the content of `performed`, streamed in chunks.
pub(super) fn answer(
    options: &UpstreamOptions,
    work: &WorkHead,
    performed: Performed,
) -> Response<BoxBody> {
    let Performed {
        mut execution,
        effect,
    } = performed;
    let content = content(options, work, &effect.identity);
    let range = match wanted_range(&content, work.range.as_deref(), work.if_range.as_deref()) {
        Ok(range) => range,
        Err(error) => {
            execution.set_finish(Finish::Complete);
            return error_reply(StatusCode::RANGE_NOT_SATISFIABLE, error);
        }
    };
    let status = match range {
        Some(_) => StatusCode::PARTIAL_CONTENT,
        None => StatusCode::OK,
    };
    let length_bytes = content.length_bytes();
    let sent = range.unwrap_or(ByteRange {
        start: 0,
        end: length_bytes,
    });
    let mut response = Response::new(status);
    let fields = response.headers_mut();
    set_identity(fields, &effect.identity);
    set_content(fields, &content, range);
    let cut_at = match effect.fault {
        Some(AnswerFault::CutAfter { bytes }) => Some(sent.start.saturating_add(bytes)),
        _ => None,
    };
    let streaming = Streaming {
        execution,
        content,
        next: sent.start,
        end: sent.end,
        cut_at,
        chunk_bytes: options.chunk_bytes,
        chunk_ms: options.chunk_ms,
    };
    let body = SizedStream::new(sent.end - sent.start, chunks(streaming));
    response.set_body(BoxBody::new(body))
}

fn content(options: &UpstreamOptions, work: &WorkHead, identity: &Identity) -> Content {
    if let Some(length_bytes) = options.body_bytes_of(work.rank.as_ref()) {
        return Content::Generated {
            key: KeyHash::of(identity.key.as_bytes()),
            length_bytes,
        };
    }
    let echo = serde_json::json!({
        "upstream": options.name,
        "key": identity.key,
        "order_id": identity.order_id,
        "body_digest": digest_text(identity.body_digest),
    });
    Content::Fixed(Bytes::from(echo.to_string()))
}

fn digest_text(digest: KeyHash) -> String {
    format!("{:016x}", digest.0)
}

/// Names the request in the answer, so that callers can tell a crossed answer.
fn set_identity(fields: &mut HeaderMap, identity: &Identity) {
    set(fields, headers::KEY, &identity.key);
    set(
        fields,
        headers::BODY_DIGEST,
        &digest_text(identity.body_digest),
    );
    if let Some(order_id) = &identity.order_id {
        set(fields, headers::IDEMPOTENCY_KEY, order_id.as_str());
    }
}

fn set_content(fields: &mut HeaderMap, content: &Content, range: Option<ByteRange>) {
    let content_type = match content {
        Content::Fixed(_) => "application/json",
        Content::Generated { .. } => "application/octet-stream",
    };
    set(fields, CONTENT_TYPE.as_str(), content_type);
    if let Some(etag) = content.etag() {
        set(fields, ETAG.as_str(), &etag);
        set(fields, ACCEPT_RANGES.as_str(), "bytes");
    }
    if let Some(ByteRange { start, end }) = range {
        let total = content.length_bytes();
        let text = format!("bytes {start}-{}/{total}", end - 1);
        set(fields, CONTENT_RANGE.as_str(), &text);
    }
}

fn set(fields: &mut HeaderMap, name: &str, value: &str) {
    let name = HeaderName::try_from(name);
    let value = HeaderValue::from_bytes(value.as_bytes());
    if let (Ok(name), Ok(value)) = (name, value) {
        fields.insert(name, value);
    }
}

fn chunks(streaming: Streaming) -> impl Stream<Item = Result<Bytes, CutShort>> {
    stream::try_unfold(streaming, next_chunk)
}

/// Produces the next chunk if the grant still covers the execution.
async fn next_chunk(mut streaming: Streaming) -> Result<Option<(Bytes, Streaming)>, CutShort> {
    if streaming.next >= streaming.end {
        streaming.execution.set_finish(Finish::Complete);
        return Ok(None);
    }
    if streaming
        .cut_at
        .is_some_and(|cut_at| streaming.next >= cut_at)
    {
        let cause = AbortCause::Fault;
        streaming.execution.set_finish(Finish::Aborted(cause));
        return Err(CutShort { cause });
    }
    if streaming.chunk_ms > 0 {
        actix_rt::time::sleep(Duration::from_millis(streaming.chunk_ms)).await;
    }
    let checked = streaming.execution.recheck().await;
    checked.map_err(|cause| CutShort { cause })?;
    let chunk_end = (streaming.next + streaming.chunk_bytes)
        .min(streaming.end)
        .min(streaming.cut_at.unwrap_or(u64::MAX));
    let chunk = streaming.content.slice(streaming.next, chunk_end);
    streaming.next = chunk_end;
    if chunk_end == streaming.end {
        // The server need not ask for more than the announced length.
        streaming.execution.set_finish(Finish::Complete);
    }
    Ok(Some((chunk, streaming)))
}
