//! Encoding of request heads from the daemon's types.

use balsam_http1::{BadRequestSnafu, Field, Framing, Http1Error, encode_request};
use balsam_types::{Epoch, RequestHead, UnitId};
use balsam_wire::upstream::headers;
use bytes::{Bytes, BytesMut};
use snafu::ensure;
use std::net::SocketAddr;

/// Header values from the sender's control state at the time of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::request) struct RoutingFields {
    /// The unit to which the key belongs.
    pub(in crate::request) unit: UnitId,
    /// The epoch of the sender's control state.
    pub(in crate::request) epoch: Epoch,
    /// The time that the upstream has for the request, in milliseconds.
    pub(in crate::request) remaining_ms: u64,
}

/// Encodes the head of a request to the upstream at `address`.
pub(in crate::request) fn encode_head(
    head: &RequestHead,
    routing: RoutingFields,
    address: SocketAddr,
    framing: Framing,
) -> Result<BytesMut, Http1Error> {
    let target = head.target.as_bytes();
    let is_path = target.starts_with(b"/") && target.iter().all(u8::is_ascii_graphic);
    ensure!(is_path, BadRequestSnafu { part: "target" });
    let (host, unit) = (address.to_string(), routing.unit.0.to_string());
    let epoch = routing.epoch.0.to_string();
    let remaining_ms = routing.remaining_ms.to_string();
    let order_id = head.order_id.as_ref();
    let order_id = order_id.map(|id| (headers::IDEMPOTENCY_KEY, id.as_str()));
    let daemon_fields = [
        ("host", host.as_str()),
        (headers::UNIT, &unit),
        (headers::EPOCH, &epoch),
        (headers::DEADLINE_MS, &remaining_ms),
        (headers::RANK, head.rank.as_str()),
        (headers::MEMBER, head.member.as_str()),
        (headers::KEY, &head.key.text),
    ];
    let daemon_fields: Vec<(&str, &str)> = daemon_fields.into_iter().chain(order_id).collect();
    let fields = head.headers.iter().map(|field| Field {
        name: Bytes::copy_from_slice(field.name.as_bytes()),
        value: Bytes::copy_from_slice(&field.value),
    });
    let fields: Vec<Field> = fields.collect();
    // `GET` and `HEAD` define no meaning for a body, so no `content-length` is sent for an empty
    // one.
    let is_bodiless = matches!(&*head.method, "GET" | "HEAD") && framing == Framing::Length(0);
    let framing = if is_bodiless { Framing::None } else { framing };
    encode_request(
        head.method.as_bytes(),
        target,
        fields.iter(),
        &daemon_fields,
        framing,
    )
}
