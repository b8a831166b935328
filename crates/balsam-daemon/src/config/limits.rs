//! Resource limits of the listeners and time limits of the shutdown.

use super::FieldFault;
use super::fields::Fields;
use serde_json::{Map, Value};

/// Limits on connections, header sizes and the phases of a graceful shutdown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of concurrent caller connections.
    pub caller_connections: usize,
    /// The maximum number of concurrent operator connections.
    pub operator_connections: usize,
    /// The maximum number of concurrent connections from other daemons.
    pub peer_connections: usize,
    /// The maximum size of one request's header fields, in bytes.
    pub header_bytes: usize,
    /// The idle timeout of keep-alive caller connections, in milliseconds.
    pub keep_alive_ms: u64,
    /// The time after a stop request during which the daemon still accepts caller connections, in
    /// milliseconds.
    ///
    /// The daemon already reports that it is not ready, so load balancers have this long to notice
    /// and route callers elsewhere.
    pub grace_ms: u64,
    /// The maximum time to wait for in-flight requests during shutdown, in milliseconds.
    pub drain_ms: u64,
    /// The maximum time to wait during shutdown until other daemons have taken over this daemon's
    /// upstreams and its removal from the roster is committed, in milliseconds.
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
    /// Reads the `limits` object. Missing or invalid fields keep their defaults.
    pub(super) fn read(values: Map<String, Value>) -> (Self, Vec<FieldFault>) {
        let mut fields = Fields::new("limits.", values);
        let defaults = Self::default();
        let mut count = |name, range, default: usize| {
            usize::try_from(fields.number(name, range, default as u64)).unwrap_or(default)
        };
        let caller_connections = count(
            "caller_connections",
            1..=1_000_000,
            defaults.caller_connections,
        );
        let operator_connections = count(
            "operator_connections",
            1..=10_000,
            defaults.operator_connections,
        );
        let peer_connections = count("peer_connections", 1..=100_000, defaults.peer_connections);
        let header_bytes = count("header_bytes", 1_024..=1 << 20, defaults.header_bytes);
        let limits = Self {
            caller_connections,
            operator_connections,
            peer_connections,
            header_bytes,
            keep_alive_ms: fields.number("keep_alive_ms", 1..=3_600_000, defaults.keep_alive_ms),
            grace_ms: fields.number("grace_ms", 0..=600_000, defaults.grace_ms),
            drain_ms: fields.number("drain_ms", 0..=86_400_000, defaults.drain_ms),
            leave_ms: fields.number("leave_ms", 0..=60_000, defaults.leave_ms),
        };
        (limits, fields.finish())
    }
}
