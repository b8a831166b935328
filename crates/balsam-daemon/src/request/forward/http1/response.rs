//! Reads the heads of answers.

use balsam_http1::{BadHeadSnafu, HeadTooLongSnafu, UnprovenEndSnafu};
use balsam_http1::{BodyDecoder, Http1Error, is_hop_by_hop};
use balsam_types::{HeaderField, ResponseHead};
use bytes::{Buf, BytesMut};
use http::{HeaderName, HeaderValue};
use snafu::{OptionExt, ensure};
use std::sync::Arc;

/// The greatest length of an answer's head in bytes; it must fit into a head frame of a relay.
const HEAD_MAX_BYTES: usize = 64 << 10;

/// The head of an answer with what it says of the connection and the body.
#[derive(Debug)]
pub(in crate::request) struct ParsedHead {
    /// The head that is passed on.
    pub(in crate::request) head: ResponseHead,
    /// Reads the body.
    pub(in crate::request) body: BodyDecoder,
    /// Whether the upstream keeps the connection open.
    pub(in crate::request) keep_alive: bool,
}

#[derive(Default)]
struct Framing {
    length_bytes: Option<u64>,
    chunked: bool,
    close: bool,
    named: Vec<String>,
}

/// Takes a complete head from `buffer`, or returns `None` if more bytes are needed.
///
/// Interim answers are skipped.
pub(in crate::request) fn parse_head(
    buffer: &mut BytesMut,
    to_head_request: bool,
) -> Result<Option<ParsedHead>, Http1Error> {
    loop {
        let Some(end) = find(buffer, b"\r\n\r\n") else {
            let max_bytes = HEAD_MAX_BYTES;
            ensure!(buffer.len() <= max_bytes, HeadTooLongSnafu { max_bytes });
            return Ok(None);
        };
        let max_bytes = HEAD_MAX_BYTES;
        ensure!(end <= max_bytes, HeadTooLongSnafu { max_bytes });
        let head = buffer.split_to(end);
        buffer.advance(4);
        let status = parse_status(&head)?;
        ensure!(status != 101, BadHeadSnafu { part: "status 101" });
        if status >= 200 {
            return parse_final(&head, status, to_head_request).map(Some);
        }
    }
}

/// Returns the position of `pattern` in `bytes`.
fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

fn parse_status(head: &[u8]) -> Result<u16, Http1Error> {
    let line = lines(head).next().unwrap_or_default();
    let rest = line.strip_prefix(b"HTTP/1.1 ");
    let digits = rest.and_then(|rest| rest.get(..3));
    let is_alone = rest.is_some_and(|rest| rest.len() == 3 || rest.get(3) == Some(&b' '));
    let status = digits
        .filter(|digits| is_alone && digits.iter().all(u8::is_ascii_digit))
        .and_then(|digits| std::str::from_utf8(digits).ok()?.parse().ok())
        .filter(|status| (100..=599).contains(status));
    status.context(BadHeadSnafu {
        part: "status line",
    })
}

fn parse_final(head: &[u8], status: u16, to_head_request: bool) -> Result<ParsedHead, Http1Error> {
    let mut framing = Framing::default();
    let mut headers = Vec::new();
    for line in lines(head).skip(1) {
        let (name, value) = parse_field(line)?;
        if !framing.take(name.as_str(), &value)? {
            headers.push(HeaderField {
                name: Arc::from(name.as_str()),
                value: value.as_bytes().to_vec(),
            });
        }
    }
    headers.retain(|field| !framing.named.iter().any(|name| **name == *field.name));
    let has_no_body = to_head_request || status == 204 || status == 304;
    let body = match (framing.chunked, framing.length_bytes) {
        // Both together are how requests are smuggled past another reader of the connection.
        (true, Some(_)) => return BadHeadSnafu { part: "framing" }.fail(),
        _ if has_no_body => BodyDecoder::empty(),
        (true, None) => BodyDecoder::chunked(),
        (false, Some(length_bytes)) => BodyDecoder::length(length_bytes),
        (false, None) => return UnprovenEndSnafu.fail(),
    };
    Ok(ParsedHead {
        head: ResponseHead {
            status,
            headers,
            body_length_bytes: framing.length_bytes,
        },
        body,
        keep_alive: !framing.close,
    })
}

impl Framing {
    /// Takes a field that concerns the connection; returns `false` for all others.
    fn take(&mut self, name: &str, value: &HeaderValue) -> Result<bool, Http1Error> {
        let text = || value.to_str().unwrap_or_default().to_ascii_lowercase();
        match name {
            "content-length" => {
                let length = text().parse().ok();
                let length: u64 = length.context(BadHeadSnafu {
                    part: "content-length",
                })?;
                let is_same = self.length_bytes.is_none_or(|former| former == length);
                ensure!(
                    is_same,
                    BadHeadSnafu {
                        part: "content-length"
                    }
                );
                self.length_bytes = Some(length);
            }
            "transfer-encoding" => {
                let is_only = !self.chunked && text() == "chunked";
                ensure!(
                    is_only,
                    BadHeadSnafu {
                        part: "transfer-encoding"
                    }
                );
                self.chunked = true;
            }
            "connection" => {
                let names = text();
                let names = names.split(',').map(|name| name.trim().to_owned());
                self.named.extend(names);
                self.close = self.named.iter().any(|name| name == "close");
            }
            _ => return Ok(is_hop_by_hop(name.as_bytes())),
        }
        Ok(true)
    }
}

fn parse_field(line: &[u8]) -> Result<(HeaderName, HeaderValue), Http1Error> {
    let colon = line.iter().position(|byte| *byte == b':');
    let (name, value) = line.split_at(colon.context(BadHeadSnafu { part: "field" })?);
    let name = HeaderName::from_bytes(name).ok();
    let value = HeaderValue::from_bytes(value[1..].trim_ascii()).ok();
    name.zip(value).context(BadHeadSnafu { part: "field" })
}

fn lines(head: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = Some(head);
    std::iter::from_fn(move || {
        let bytes = rest?;
        let Some(end) = find(bytes, b"\r\n") else {
            rest = None;
            return Some(bytes);
        };
        rest = Some(&bytes[end + 2..]);
        Some(&bytes[..end])
    })
}
