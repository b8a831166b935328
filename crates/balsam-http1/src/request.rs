//! Parsing of request heads, and helpers shared with response heads.

use crate::error::{BadHeadSnafu, HeadTooLongSnafu};
use crate::fields::{Field, Fields};
use crate::{BodyDecoder, Http1Error};
use bytes::{Bytes, BytesMut};
use memchr::memmem;
use snafu::{OptionExt, ensure};

/// The maximum number of header fields in a message.
pub(crate) const FIELDS_MAX: usize = 100;

/// A request head, together with the body framing and connection persistence it announces.
#[derive(Debug)]
pub struct RequestHead {
    /// The method.
    pub method: Bytes,
    /// The path and query as received.
    pub target: Bytes,
    /// The header fields.
    pub fields: Fields,
    /// The decoder for the body.
    pub body: BodyDecoder,
    /// Whether the sender keeps the connection open after the request.
    pub keep_alive: bool,
}

/// Takes a complete head from `buffer`, or returns `None` if more bytes are needed.
///
/// # Errors
///
/// Returns an [`Http1Error`] if the head is malformed, longer than `max_bytes`, or ambiguous about
/// where its body ends. An ambiguous request could smuggle another request inside its body.
pub fn parse_request(
    buffer: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<RequestHead>, Http1Error> {
    let Some(head) = take_head(buffer, max_bytes)? else {
        return Ok(None);
    };
    let mut header_storage = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut request = httparse::Request::new(&mut header_storage);
    let parsed = request.parse(&head).ok();
    let is_complete_head = parsed.is_some_and(|status| status.is_complete());
    ensure!(is_complete_head, BadHeadSnafu { part: "request" });
    let part = "request line";
    let method = request.method.context(BadHeadSnafu { part })?;
    let target = request.path.context(BadHeadSnafu { part })?;
    let version = request.version.context(BadHeadSnafu { part })?;
    let fields = take_fields(&head, request.headers);
    let body = request_body(&fields)?;
    let keep_alive = match version {
        0 => fields.has_token("connection", "keep-alive"),
        _ => !fields.has_token("connection", "close"),
    };
    Ok(Some(RequestHead {
        method: head.slice_ref(method.as_bytes()),
        target: head.slice_ref(target.as_bytes()),
        fields,
        body,
        keep_alive,
    }))
}

/// Takes the bytes of a head, including the empty line that ends it.
pub(crate) fn take_head(
    buffer: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<Bytes>, Http1Error> {
    let Some(end) = memmem::find(buffer, b"\r\n\r\n") else {
        ensure!(buffer.len() <= max_bytes, HeadTooLongSnafu { max_bytes });
        return Ok(None);
    };
    ensure!(end <= max_bytes, HeadTooLongSnafu { max_bytes });
    Ok(Some(buffer.split_to(end + 4).freeze()))
}

/// Converts the parsed headers to fields that are slices of `head`.
pub(crate) fn take_fields(head: &Bytes, headers: &[httparse::Header<'_>]) -> Fields {
    let fields = headers.iter().map(|header| Field {
        name: head.slice_ref(header.name.as_bytes()),
        value: if header.value.is_empty() {
            Bytes::new()
        } else {
            head.slice_ref(header.value)
        },
    });
    Fields::new(fields.collect())
}

fn request_body(fields: &Fields) -> Result<BodyDecoder, Http1Error> {
    match (is_chunked(fields)?, content_length(fields)?) {
        (true, Some(_)) => BadHeadSnafu { part: "framing" }.fail(),
        (true, None) => Ok(BodyDecoder::chunked()),
        (false, length_bytes) => Ok(BodyDecoder::length(length_bytes.unwrap_or(0))),
    }
}

/// Returns the value of `Content-Length`; repeated fields are accepted if they are equal.
pub(crate) fn content_length(fields: &Fields) -> Result<Option<u64>, Http1Error> {
    let mut found = None;
    for value in fields.all("content-length") {
        let digits = std::str::from_utf8(value).ok();
        let digits = digits.filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
        let length = digits.and_then(|text| text.parse::<u64>().ok());
        let part = "content-length";
        let length = length.context(BadHeadSnafu { part })?;
        ensure!(
            found.is_none_or(|previous| previous == length),
            BadHeadSnafu { part }
        );
        found = Some(length);
    }
    Ok(found)
}

/// Returns whether the body is chunked; any other transfer encoding is an error.
pub(crate) fn is_chunked(fields: &Fields) -> Result<bool, Http1Error> {
    let mut encodings = fields.all("transfer-encoding");
    let Some(first) = encodings.next() else {
        return Ok(false);
    };
    let is_only_chunked = first.eq_ignore_ascii_case(b"chunked") && encodings.next().is_none();
    ensure!(
        is_only_chunked,
        BadHeadSnafu {
            part: "transfer-encoding"
        }
    );
    Ok(true)
}
