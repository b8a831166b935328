//! Parsing of answer heads into the daemon's types.

use balsam_http1::{
    BodyDecoder, Field, Http1Error, ParsedResponseHead, UndelimitedBodySnafu, parse_response,
};
use balsam_types::{HeaderField, ResponseHead};
use bytes::BytesMut;
use snafu::ensure;
use std::sync::Arc;

/// The head of an answer, with what it states about the body and the connection.
#[derive(Debug)]
pub(in crate::request) struct ParsedHead {
    /// The head to forward to the caller.
    pub(in crate::request) head: ResponseHead,
    /// The decoder of the body.
    pub(in crate::request) body: BodyDecoder,
    /// Whether the connection stays open after the answer.
    pub(in crate::request) keep_alive: bool,
}

/// Removes a complete head from `buffer`, or returns `None` if more bytes are needed.
///
/// An answer whose body is delimited only by the close of the connection is rejected, because a
/// lost connection would make a truncated body look complete.
pub(in crate::request) fn parse_head(
    buffer: &mut BytesMut,
    to_head_request: bool,
) -> Result<Option<ParsedHead>, Http1Error> {
    let Some(answer) = parse_response(buffer, to_head_request)? else {
        return Ok(None);
    };
    ensure!(!answer.body.ends_at_close(), UndelimitedBodySnafu);
    Ok(Some(ParsedHead::from(answer)))
}

impl From<ParsedResponseHead> for ParsedHead {
    fn from(answer: ParsedResponseHead) -> Self {
        let length = answer.fields.text("content-length");
        Self {
            head: ResponseHead {
                status: answer.status,
                headers: answer.fields.end_to_end().map(header_field).collect(),
                body_length_bytes: length.and_then(|length| length.parse().ok()),
            },
            body: answer.body,
            keep_alive: answer.keep_alive,
        }
    }
}

fn header_field(field: &Field) -> HeaderField {
    // The parser only accepts tokens as field names, and tokens are ASCII.
    let name = String::from_utf8_lossy(&field.name).to_ascii_lowercase();
    HeaderField {
        name: Arc::from(name),
        value: field.value.to_vec(),
    }
}
