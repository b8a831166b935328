//! Conversion between the daemon's types and the HTTP/1.1 messages of `balsam-http1`.

mod request;
mod response;

pub(super) use balsam_http1::{BodyDecoder, BodyStep, Framing, Http1Error, encode_chunk};
pub(super) use request::{RoutingFields, encode_head};
pub(super) use response::{ParsedHead, parse_head};
