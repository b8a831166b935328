//! Requests and responses without their bodies.

use crate::{KeyHash, MemberName, OrderId, RankName, ServiceName};
use std::sync::Arc;

/// The key of a request within its service, with its stable hash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestKey {
    /// The key's text, as the caller gave it.
    pub text: Arc<str>,
    /// The stable hash of the text.
    pub hash: KeyHash,
}

impl RequestKey {
    /// Makes a key of its text.
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
    /// The field's name in lower case.
    pub name: Arc<str>,
    /// The field's value.
    pub value: Vec<u8>,
}

/// A request as identified by the entry daemon, without its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The service that the caller addresses.
    pub service: ServiceName,
    /// The rank of the work.
    pub rank: RankName,
    /// The member on whose behalf the caller sends.
    pub member: MemberName,
    /// The key, which decides the owner.
    pub key: RequestKey,
    /// The order id, if the caller gave one.
    pub order_id: Option<OrderId>,
    /// The HTTP method.
    pub method: Arc<str>,
    /// The path and query as sent to the upstream.
    pub target: Arc<str>,
    /// Header fields that are passed on; hop-by-hop fields are removed.
    pub headers: Vec<HeaderField>,
    /// The time the caller still waits, in milliseconds from when this head was made.
    pub remaining_ms: u64,
    /// The exact length of the body in bytes, if it is known.
    pub body_length_bytes: Option<u64>,
}

/// A response's status and header fields, without its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The HTTP status code.
    pub status: u16,
    /// Header fields that are passed on; hop-by-hop fields are removed.
    pub headers: Vec<HeaderField>,
    /// The exact length of the body in bytes, if it is known.
    pub body_length_bytes: Option<u64>,
}
