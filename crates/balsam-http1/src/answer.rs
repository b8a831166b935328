//! Reads the heads of answers.

use crate::error::BadHeadSnafu;
use crate::request::{FIELDS_MAX, content_length, is_chunked, take_fields, take_head};
use crate::{BodyDecoder, Fields, Http1Error};
use bytes::BytesMut;
use snafu::{OptionExt, ensure};

/// The greatest length of an answer's head in bytes.
const HEAD_MAX_BYTES: usize = 64 << 10;

/// The head of an answer with what it says of its body and its connection.
#[derive(Debug)]
pub struct ParsedResponseHead {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub fields: Fields,
    /// Reads the body.
    pub body: BodyDecoder,
    /// Whether the sender keeps the connection open.
    pub keep_alive: bool,
}

/// Takes a complete head from `buffer`, or returns `None` if more bytes are needed.
///
/// Interim answers are skipped. `to_head` tells that the request's method was `HEAD`, whose answer
/// has no body whatever its fields say.
///
/// # Errors
///
/// Returns an [`Http1Error`] if the bytes are not the head of an answer.
pub fn parse_response(
    buffer: &mut BytesMut,
    to_head: bool,
) -> Result<Option<ParsedResponseHead>, Http1Error> {
    loop {
        // Bytes that are no answer need not have an empty line; nothing is gained by waiting.
        let start = &buffer[..buffer.len().min(5)];
        ensure!(
            b"HTTP/".starts_with(start),
            BadHeadSnafu {
                part: "status line"
            }
        );
        let Some(head) = take_head(buffer, HEAD_MAX_BYTES)? else {
            return Ok(None);
        };
        let mut slots = [httparse::EMPTY_HEADER; FIELDS_MAX];
        let mut answer = httparse::Response::new(&mut slots);
        let parsed = answer.parse(&head).ok();
        let is_whole = parsed.is_some_and(|status| status.is_complete());
        ensure!(is_whole, BadHeadSnafu { part: "answer" });
        let part = "status line";
        let status = answer.code.context(BadHeadSnafu { part })?;
        ensure!(status != 101, BadHeadSnafu { part });
        if status < 200 {
            continue;
        }
        let fields = take_fields(&head, answer.headers);
        let body = answer_body(&fields, to_head || status == 204 || status == 304)?;
        let is_http_11 = answer.version == Some(1);
        let keep_alive =
            is_http_11 && !fields.has_token("connection", "close") && !body.ends_at_close();
        return Ok(Some(ParsedResponseHead {
            status,
            fields,
            body,
            keep_alive,
        }));
    }
}

fn answer_body(fields: &Fields, is_bodiless: bool) -> Result<BodyDecoder, Http1Error> {
    match (is_chunked(fields)?, content_length(fields)?) {
        // Both together are how messages are smuggled past another reader of the connection.
        (true, Some(_)) => BadHeadSnafu { part: "framing" }.fail(),
        _ if is_bodiless => Ok(BodyDecoder::empty()),
        (true, None) => Ok(BodyDecoder::chunked()),
        (false, Some(length_bytes)) => Ok(BodyDecoder::length(length_bytes)),
        (false, None) => Ok(BodyDecoder::UntilClose),
    }
}
