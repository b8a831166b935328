//! Writes requests.

use balsam_http1::BadRequestSnafu;
use balsam_http1::Http1Error;
use balsam_types::{Epoch, RequestHead, UnitId};
use balsam_wire::upstream::headers;
use bytes::{BufMut, BytesMut};
use http::{HeaderName, HeaderValue, Method};
use snafu::{OptionExt, ensure};
use std::fmt::Write;
use std::net::SocketAddr;

/// What the sender's control state says of a request, at the moment it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::request) struct SendTerms {
    /// The unit that holds the key.
    pub(in crate::request) unit: UnitId,
    /// The sender's control epoch.
    pub(in crate::request) epoch: Epoch,
    /// The time that the upstream may take, in milliseconds.
    pub(in crate::request) remaining_ms: u64,
}

/// How the end of a request body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::request) enum BodyEncoding {
    /// By its length.
    Length(u64),
    /// By a last chunk.
    Chunked,
}

/// Encodes the head of a request.
pub(in crate::request) fn encode_head(
    head: &RequestHead,
    terms: SendTerms,
    address: SocketAddr,
    encoding: BodyEncoding,
) -> Result<BytesMut, Http1Error> {
    let mut out = BytesMut::with_capacity(512);
    let method = Method::from_bytes(head.method.as_bytes());
    let method = method.ok().context(BadRequestSnafu { part: "method" })?;
    let target = head.target.as_bytes();
    let is_plain = target.starts_with(b"/") && target.iter().all(u8::is_ascii_graphic);
    ensure!(is_plain, BadRequestSnafu { part: "target" });
    out.put_slice(method.as_str().as_bytes());
    out.put_u8(b' ');
    out.put_slice(target);
    out.put_slice(b" HTTP/1.1\r\nhost: ");
    // Writing to a buffer in memory does not fail.
    let _ = write!(out, "{address}");
    out.put_slice(b"\r\n");
    put_number(&mut out, headers::UNIT, terms.unit.0);
    put_number(&mut out, headers::EPOCH, terms.epoch.0);
    put_number(&mut out, headers::DEADLINE_MS, terms.remaining_ms);
    put_field(&mut out, headers::RANK, head.rank.as_str().as_bytes())?;
    put_field(&mut out, headers::MEMBER, head.member.as_str().as_bytes())?;
    put_field(&mut out, headers::KEY, head.key.text.as_bytes())?;
    if let Some(id) = &head.order_id {
        put_field(&mut out, headers::IDEMPOTENCY_KEY, id.as_str().as_bytes())?;
    }
    for field in &head.headers {
        put_field(&mut out, &field.name, &field.value)?;
    }
    match encoding {
        // Methods without a meaning for a body send no length of an empty one.
        BodyEncoding::Length(0) if matches!(method, Method::GET | Method::HEAD) => {}
        BodyEncoding::Length(length_bytes) => put_number(&mut out, "content-length", length_bytes),
        BodyEncoding::Chunked => out.put_slice(b"transfer-encoding: chunked\r\n"),
    }
    out.put_slice(b"\r\n");
    Ok(out)
}

fn put_number(out: &mut BytesMut, name: &str, number: u64) {
    // Writing to a buffer in memory does not fail.
    let _ = write!(out, "{name}: {number}\r\n");
}

fn put_field(out: &mut BytesMut, name: &str, value: &[u8]) -> Result<(), Http1Error> {
    let name = HeaderName::from_bytes(name.as_bytes()).ok();
    let name = name.context(BadRequestSnafu { part: "field name" })?;
    let value = HeaderValue::from_bytes(value).ok();
    let value = value.context(BadRequestSnafu {
        part: "field value",
    })?;
    out.put_slice(name.as_str().as_bytes());
    out.put_slice(b": ");
    out.put_slice(value.as_bytes());
    out.put_slice(b"\r\n");
    Ok(())
}
