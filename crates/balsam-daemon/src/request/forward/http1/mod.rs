//! The requests and answers of upstreams as the daemon's types; `balsam-http1` reads the bodies.

mod request;
mod response;

pub(super) use balsam_http1::{BodyDecoder, BodyStep, Http1Error, encode_chunk};
pub(super) use request::{BodyEncoding, SendTerms, encode_head};
pub(super) use response::{ParsedHead, parse_head};
