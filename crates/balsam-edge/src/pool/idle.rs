//! Idle connections to upstreams.

use crate::http::Connection;
use balsam_types::{Map, RouteKind, StartTime, UpstreamName, new_map};
use std::time::Duration;

/// Idle connections to one upstream at most.
const IDLE_MAX: usize = 4;

/// How long a connection may be idle and still take a request that may be repeated.
///
/// Upstreams close idle connections after some seconds; a request that meets the close is lost.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// How long a connection may be idle and still take an order, which cannot be repeated when it
/// meets the close.
const ORDER_IDLE_TIME: Duration = Duration::from_millis(400);

/// Idle connections by upstream.
#[derive(Debug)]
pub(super) struct IdleConnections {
    connections: Map<UpstreamName, (StartTime, Vec<Connection>)>,
}

impl IdleConnections {
    /// Makes an empty set.
    pub(super) fn new() -> Self {
        Self {
            connections: new_map(),
        }
    }

    /// Adds a connection after an exchange.
    pub(super) fn put(&mut self, upstream: &UpstreamName, born: StartTime, connection: Connection) {
        let entry = self.connections.entry(upstream.clone());
        let (known, idle) = entry.or_insert_with(|| (born, Vec::new()));
        if *known != born {
            *known = born;
            idle.clear();
        }
        if idle.len() >= IDLE_MAX {
            idle.remove(0);
        }
        idle.push(connection);
    }

    /// Takes the connection that was used last, if a request of this kind may be sent on it.
    pub(super) fn take(
        &mut self,
        upstream: &UpstreamName,
        born: StartTime,
        kind: RouteKind,
    ) -> Option<Connection> {
        let (known, idle) = self.connections.get_mut(upstream)?;
        if *known != born {
            return None;
        }
        let time = if kind.is_retryable() {
            IDLE_TIME
        } else {
            ORDER_IDLE_TIME
        };
        while let Some(connection) = idle.pop() {
            if connection.idle() > time {
                // The others have been idle for longer; they still serve other kinds.
                if kind.is_retryable() {
                    idle.clear();
                } else {
                    idle.push(connection);
                }
                return None;
            }
            if connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Closes connections that were idle for too long.
    pub(super) fn prune(&mut self) {
        self.connections.retain(|_, (_, idle)| {
            idle.retain(|connection| connection.idle() <= IDLE_TIME);
            !idle.is_empty()
        });
    }
}
