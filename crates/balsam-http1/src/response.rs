//! Parsing of response heads.

use crate::error::BadHeadSnafu;
use crate::request::{FIELDS_MAX, content_length, is_chunked, take_fields, take_head};
use crate::{BodyDecoder, Fields, Http1Error};
use bytes::BytesMut;
use snafu::{OptionExt, ensure};

/// The maximum length of a response head in bytes.
const HEAD_MAX_BYTES: usize = 64 << 10;

/// The status codes of HTTP. With another one, a response cannot be told from an interim one.
const STATUS_CODES: std::ops::Range<u16> = 100..600;

/// A response head, together with the body framing and connection persistence it announces.
#[derive(Debug)]
pub struct ParsedResponseHead {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub fields: Fields,
    /// The decoder for the body.
    pub body: BodyDecoder,
    /// Whether the sender keeps the connection open after the response.
    pub keep_alive: bool,
}

/// Takes a complete head from `buffer`, or returns `None` if more bytes are needed.
///
/// Interim (1xx) responses are skipped. `is_head_request` states that the method was `HEAD`, whose
/// response has no body whatever its header fields announce.
///
/// # Errors
///
/// Returns an [`Http1Error`] if the bytes are not a valid response head.
pub fn parse_response(
    buffer: &mut BytesMut,
    is_head_request: bool,
) -> Result<Option<ParsedResponseHead>, Http1Error> {
    loop {
        // Reject other protocols at once: such bytes might never contain the empty line that ends a
        // head, so that waiting for it would only run into the time limit.
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
        let mut header_storage = [httparse::EMPTY_HEADER; FIELDS_MAX];
        let mut response = httparse::Response::new(&mut header_storage);
        let parsed = response.parse(&head).ok();
        let is_complete_head = parsed.is_some_and(|status| status.is_complete());
        ensure!(is_complete_head, BadHeadSnafu { part: "answer" });
        let part = "status line";
        let status = response.code.context(BadHeadSnafu { part })?;
        ensure!(
            STATUS_CODES.contains(&status) && status != 101,
            BadHeadSnafu { part }
        );
        if status < 200 {
            continue;
        }
        let fields = take_fields(&head, response.headers);
        let body = response_body(&fields, is_head_request || status == 204 || status == 304)?;
        let is_http_11 = response.version == Some(1);
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

fn response_body(fields: &Fields, is_bodiless: bool) -> Result<BodyDecoder, Http1Error> {
    match (is_chunked(fields)?, content_length(fields)?) {
        // A message with both framings can be read in two ways, which allows smuggling a second
        // message past another HTTP implementation on the connection.
        (true, Some(_)) => BadHeadSnafu { part: "framing" }.fail(),
        _ if is_bodiless => Ok(BodyDecoder::empty()),
        (true, None) => Ok(BodyDecoder::chunked()),
        (false, Some(length_bytes)) => Ok(BodyDecoder::length(length_bytes)),
        (false, None) => Ok(BodyDecoder::UntilClose),
    }
}
