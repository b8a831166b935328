//! Encoding of message heads and chunks.

use crate::error::BadRequestSnafu;
use crate::{Field, Http1Error};
use bytes::{BufMut, Bytes, BytesMut};
use snafu::ensure;
use std::fmt::Write;

/// The initial buffer capacity, in bytes, which most heads fit into.
const HEAD_CAPACITY_BYTES: usize = 512;

/// How a message delimits its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The message has no body and no framing field.
    None,
    /// By its length in bytes, in `Content-Length`.
    Length(u64),
    /// By the chunked transfer encoding.
    Chunked,
}

/// Encodes a request head from forwarded `fields` and `added` ones.
///
/// # Errors
///
/// Returns an [`Http1Error`] if a part contains bytes that would break the message framing.
pub fn encode_request<'a>(
    method: &[u8],
    target: &[u8],
    fields: impl Iterator<Item = &'a Field>,
    added: &[(&str, &str)],
    framing: Framing,
) -> Result<BytesMut, Http1Error> {
    let mut out = BytesMut::with_capacity(HEAD_CAPACITY_BYTES);
    ensure!(is_token(method), BadRequestSnafu { part: "method" });
    let is_valid_target =
        !target.is_empty() && !target.iter().any(|byte| *byte <= b' ' || *byte == 127);
    ensure!(is_valid_target, BadRequestSnafu { part: "target" });
    out.put_slice(method);
    out.put_u8(b' ');
    out.put_slice(target);
    out.put_slice(b" HTTP/1.1\r\n");
    put_fields(&mut out, fields, added)?;
    put_framing(&mut out, framing);
    Ok(out)
}

/// Encodes a response head from forwarded `fields` and `added` ones.
///
/// # Errors
///
/// Returns an [`Http1Error`] if a part contains bytes that would break the message framing.
pub fn encode_response<'a>(
    status: u16,
    fields: impl Iterator<Item = &'a Field>,
    added: &[(&str, &str)],
    framing: Framing,
) -> Result<BytesMut, Http1Error> {
    let mut out = BytesMut::with_capacity(HEAD_CAPACITY_BYTES);
    // Writing to an in-memory buffer cannot fail.
    let _ = write!(out, "HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    put_fields(&mut out, fields, added)?;
    put_framing(&mut out, framing);
    Ok(out)
}

/// Encodes one chunk; an empty chunk ends the body.
pub fn encode_chunk(bytes: &Bytes) -> Bytes {
    let mut out = BytesMut::with_capacity(bytes.len() + 16);
    // Writing to an in-memory buffer cannot fail.
    let _ = write!(out, "{:x}\r\n", bytes.len());
    out.put_slice(bytes);
    out.put_slice(b"\r\n");
    out.freeze()
}

fn put_fields<'a>(
    out: &mut BytesMut,
    fields: impl Iterator<Item = &'a Field>,
    added: &[(&str, &str)],
) -> Result<(), Http1Error> {
    for field in fields {
        put_field(out, &field.name, &field.value)?;
    }
    for (name, value) in added {
        put_field(out, name.as_bytes(), value.as_bytes())?;
    }
    Ok(())
}

fn put_field(out: &mut BytesMut, name: &[u8], value: &[u8]) -> Result<(), Http1Error> {
    ensure!(is_token(name), BadRequestSnafu { part: "field name" });
    let is_single_line = !value.iter().any(|byte| matches!(byte, b'\r' | b'\n' | 0));
    ensure!(
        is_single_line,
        BadRequestSnafu {
            part: "field value"
        }
    );
    out.put_slice(name);
    out.put_slice(b": ");
    out.put_slice(value);
    out.put_slice(b"\r\n");
    Ok(())
}

fn put_framing(out: &mut BytesMut, framing: Framing) {
    // Writing to an in-memory buffer cannot fail.
    let _ = match framing {
        Framing::None => Ok(()),
        Framing::Length(length_bytes) => write!(out, "Content-Length: {length_bytes}\r\n"),
        Framing::Chunked => write!(out, "Transfer-Encoding: chunked\r\n"),
    };
    out.put_slice(b"\r\n");
}

fn is_token(text: &[u8]) -> bool {
    let is_token_byte =
        |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    !text.is_empty() && text.iter().all(is_token_byte)
}

const fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        304 => "Not Modified",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        // The reason phrase has no meaning in HTTP and may be empty.
        _ => "",
    }
}
