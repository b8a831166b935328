//! Heads of requests and responses.

use crate::{KeyHash, MemberName, OrderId, RankName, ServiceName};
use std::sync::Arc;

/// The key of a request within its service, with its stable hash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestKey {
    /// The key as sent by the caller.
    pub text: Arc<str>,
    /// The stable hash of the key text.
    pub hash: KeyHash,
}

impl RequestKey {
    /// Creates a key and computes its hash.
    pub fn new(text: impl AsRef<str>) -> Self {
        Self {
            hash: KeyHash::of(text.as_ref()),
            text: Arc::from(text.as_ref()),
        }
    }
}

/// One header field; values need not be UTF-8.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField {
    /// The field name in lower case.
    pub name: Arc<str>,
    /// The raw field value.
    pub value: Vec<u8>,
}

/// A request as classified by the entry daemon, without its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The service that the request is addressed to.
    pub service: ServiceName,
    /// The rank (priority class) of the request.
    pub rank: RankName,
    /// The member on whose behalf the caller sends the request.
    pub member: MemberName,
    /// The key, which determines the owning upstream.
    pub key: RequestKey,
    /// The order id, if the caller supplied one.
    pub order_id: Option<OrderId>,
    /// The HTTP method.
    pub method: Arc<str>,
    /// The path and query sent to the upstream.
    pub target: Arc<str>,
    /// The end-to-end header fields to forward; hop-by-hop fields are removed.
    pub headers: Vec<HeaderField>,
    /// The time until the caller's deadline, in milliseconds from the creation of this head.
    pub remaining_ms: u64,
    /// The exact body length in bytes, if known.
    pub body_length_bytes: Option<u64>,
}

/// The status and header fields of a response, without its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The HTTP status code.
    pub status: u16,
    /// The end-to-end header fields to forward; hop-by-hop fields are removed.
    pub headers: Vec<HeaderField>,
    /// The exact body length in bytes, if known.
    pub body_length_bytes: Option<u64>,
}
