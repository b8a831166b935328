//! Limits of the daemon's listeners.

use super::FieldFault;
use super::fields::Fields;
use serde_json::{Map, Value};

/// Bounds on what the daemon holds for its clients, and on how long it takes to stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections that the caller listener holds at once.
    pub caller_connections: usize,
    /// Connections that the operator listener holds at once.
    pub operator_connections: usize,
    /// Connections that the peer listener holds at once.
    pub peer_connections: usize,
    /// Bytes of the head of one request.
    pub header_bytes: usize,
    /// How long an idle connection of a caller is kept, in milliseconds.
    pub keep_alive_ms: u64,
    /// How long a stopping daemon still accepts callers, in milliseconds.
    ///
    /// The load balancer sends callers elsewhere once it has seen that the daemon is not ready.
    pub grace_ms: u64,
    /// How long a stopping daemon waits for requests in flight, in milliseconds.
    pub drain_ms: u64,
    /// How long a stopping daemon waits for its upstreams to be handed over and for its removal
    /// from the roster, in milliseconds.
    pub leave_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            caller_connections: 10_000,
            operator_connections: 64,
            peer_connections: 2_048,
            header_bytes: 32 << 10,
            keep_alive_ms: 5_000,
            grace_ms: 2_000,
            drain_ms: 30_000,
            leave_ms: 10_000,
        }
    }
}

impl Limits {
    /// Reads limits from field `limits`; each missing field keeps its default.
    pub(super) fn read(values: Map<String, Value>) -> (Self, Vec<FieldFault>) {
        let mut fields = Fields::new("limits.", values);
        let base = Self::default();
        let mut count = |name, range, default: usize| {
            usize::try_from(fields.number(name, range, default as u64)).unwrap_or(default)
        };
        let caller_connections =
            count("caller_connections", 1..=1_000_000, base.caller_connections);
        let operator_connections = count(
            "operator_connections",
            1..=10_000,
            base.operator_connections,
        );
        let peer_connections = count("peer_connections", 1..=100_000, base.peer_connections);
        let header_bytes = count("header_bytes", 1_024..=1 << 20, base.header_bytes);
        let limits = Self {
            caller_connections,
            operator_connections,
            peer_connections,
            header_bytes,
            keep_alive_ms: fields.number("keep_alive_ms", 1..=3_600_000, base.keep_alive_ms),
            grace_ms: fields.number("grace_ms", 0..=600_000, base.grace_ms),
            drain_ms: fields.number("drain_ms", 0..=86_400_000, base.drain_ms),
            leave_ms: fields.number("leave_ms", 0..=60_000, base.leave_ms),
        };
        (limits, fields.finish())
    }
}
