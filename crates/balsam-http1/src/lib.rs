//! HTTP/1.1 messages without I/O: heads of requests and answers, and the proven end of bodies.
//!
//! The crate reads what arrived and says what it means; sockets, time and decisions belong to its
//! users. `awc` does not fit towards upstreams: it reports a chunked body as complete when the
//! connection was closed between two chunks, and it does not tell whether bytes of a failed
//! request were handed to the socket, on which
//! [section 8](../../../docs/design.md#8-outcomes-and-orders) depends.

mod answer;
mod body;
mod chunked;
mod encode;
mod error;
mod fields;
mod request;

pub use answer::{ParsedResponseHead, parse_response};
pub use body::{BodyDecoder, BodyStep, PART_MAX_BYTES};
pub use chunked::ChunkedDecoder;
pub use encode::{Framing, encode_chunk, encode_request, encode_response};
pub use error::{
    BadBodySnafu, BadHeadSnafu, BadRequestSnafu, HeadTooLongSnafu, Http1Error, UndelimitedBodySnafu,
};
pub use fields::{Field, Fields, is_hop_by_hop};
pub use request::{RequestHead, parse_request};
