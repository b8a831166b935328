//! HTTP/1.1 parsing and encoding without I/O: message heads and body framing.
//!
//! The crate interprets received bytes; sockets, timers and decisions are left to its users.
//!
//! The HTTP client `awc` is not suitable for connections to upstreams. It reports a chunked body as
//! complete when the connection was closed between two chunks, and it does not report whether any
//! bytes of a failed request were written to the socket, which
//! [section 8](../../../docs/design.md#8-outcomes-and-orders) depends on.

mod body;
mod chunked;
mod encode;
mod error;
mod fields;
mod request;
mod response;

pub use body::{BodyDecoder, BodyStep, PART_MAX_BYTES};
pub use chunked::ChunkedDecoder;
pub use encode::{Framing, encode_chunk, encode_request, encode_response};
pub use error::{
    BadBodySnafu, BadHeadSnafu, BadRequestSnafu, HeadTooLongSnafu, Http1Error, UndelimitedBodySnafu,
};
pub use fields::{Field, Fields, is_hop_by_hop};
pub use request::{RequestHead, parse_request};
pub use response::{ParsedResponseHead, parse_response};
