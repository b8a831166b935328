//! The heads of requests from the daemon's types.

use balsam_http1::{BadRequestSnafu, Field, Framing, Http1Error, encode_request};
use balsam_types::{Epoch, RequestHead, UnitId};
use balsam_wire::upstream::headers;
use bytes::{Bytes, BytesMut};
use snafu::ensure;
use std::net::SocketAddr;

/// What the sender's control state says of a request, at the moment it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::request) struct SendTerms {
    /// The unit that holds the key.
    pub(in crate::request) unit: UnitId,
    /// The sender's control epoch.
    pub(in crate::request) epoch: Epoch,
    /// The time that the upstream may take, in milliseconds.
    pub(in crate::request) remaining_ms: u64,
}

/// Encodes the head of a request.
pub(in crate::request) fn encode_head(
    head: &RequestHead,
    terms: SendTerms,
    address: SocketAddr,
    framing: Framing,
) -> Result<BytesMut, Http1Error> {
    let target = head.target.as_bytes();
    let is_path = target.starts_with(b"/") && target.iter().all(u8::is_ascii_graphic);
    ensure!(is_path, BadRequestSnafu { part: "target" });
    let (host, unit) = (address.to_string(), terms.unit.0.to_string());
    let epoch = terms.epoch.0.to_string();
    let remaining_ms = terms.remaining_ms.to_string();
    let order_id = head.order_id.as_ref();
    let order_id = order_id.map(|id| (headers::IDEMPOTENCY_KEY, id.as_str()));
    let own = [
        ("host", host.as_str()),
        (headers::UNIT, &unit),
        (headers::EPOCH, &epoch),
        (headers::DEADLINE_MS, &remaining_ms),
        (headers::RANK, head.rank.as_str()),
        (headers::MEMBER, head.member.as_str()),
        (headers::KEY, &head.key.text),
    ];
    let own: Vec<(&str, &str)> = own.into_iter().chain(order_id).collect();
    let fields = head.headers.iter().map(|field| Field {
        name: Bytes::copy_from_slice(field.name.as_bytes()),
        value: Bytes::copy_from_slice(&field.value),
    });
    let fields: Vec<Field> = fields.collect();
    // Methods without a meaning for a body send no length of an empty one.
    let is_bodiless = matches!(&*head.method, "GET" | "HEAD") && framing == Framing::Length(0);
    let framing = if is_bodiless { Framing::None } else { framing };
    encode_request(head.method.as_bytes(), target, fields.iter(), &own, framing)
}
