//! The client side of HTTP/1.1 towards upstreams.
//!
//! `awc` does not fit here: it reports a chunked body as complete when the connection was closed
//! between two chunks, and it does not tell whether bytes of a failed request were handed to the
//! socket, on which [section 8](../../../../../../docs/design.md#8-outcomes-and-orders) depends.

mod body;
mod chunked;
mod error;
mod request;
mod response;

pub(super) use body::{BodyDecoder, BodyStep};
pub(super) use error::Http1Error;
pub(super) use request::{BodyEncoding, SendTerms, encode_chunk, encode_head};
pub(super) use response::{ParsedHead, parse_head};
