//! The daemon's types as HTTP/1.1 messages, which `balsam-http1` writes and reads.

mod request;
mod response;

pub(super) use balsam_http1::{BodyDecoder, BodyStep, Framing, Http1Error, encode_chunk};
pub(super) use request::{SendTerms, encode_head};
pub(super) use response::{ParsedHead, parse_head};
