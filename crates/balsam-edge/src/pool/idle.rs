//! Idle connections to upstreams.

use crate::http::Connection;
use balsam_types::{Map, RouteKind, StartTime, UpstreamName, new_map};
use std::time::Duration;

/// Upper limit on idle connections to one upstream.
const IDLE_MAX: usize = 4;

/// How long a connection may be idle and still carry a request that may be retried.
///
/// Upstreams close idle connections after a few seconds, and a request that is sent at that moment
/// is lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// How long a connection may be idle and still carry a caller's order. The limit is short because
/// an order that is lost when the upstream closes the connection must not be retried.
const ORDER_IDLE_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle connections by upstream.
#[derive(Debug)]
pub(super) struct IdleConnections {
    connections: Map<UpstreamName, (StartTime, Vec<Connection>)>,
}

impl IdleConnections {
    /// Creates an empty set.
    pub(super) fn new() -> Self {
        Self {
            connections: new_map(),
        }
    }

    /// Adds a connection after an exchange. Connections to an earlier instance of the upstream are
    /// closed.
    pub(super) fn put(&mut self, upstream: &UpstreamName, born: StartTime, connection: Connection) {
        let entry = self.connections.entry(upstream.clone());
        let (known_born, idle) = entry.or_insert_with(|| (born, Vec::new()));
        if *known_born != born {
            *known_born = born;
            idle.clear();
        }
        if idle.len() >= IDLE_MAX {
            idle.remove(0);
        }
        idle.push(connection);
    }

    /// Takes the most recently used connection if it may carry a request of this kind.
    pub(super) fn take(
        &mut self,
        upstream: &UpstreamName,
        born: StartTime,
        kind: RouteKind,
    ) -> Option<Connection> {
        let (known_born, idle) = self.connections.get_mut(upstream)?;
        if *known_born != born {
            return None;
        }
        let time = if kind.is_retryable() {
            IDLE_TIMEOUT
        } else {
            ORDER_IDLE_TIMEOUT
        };
        while let Some(connection) = idle.pop() {
            if connection.idle() > time {
                // The other connections have been idle even longer. After the shorter limit for
                // orders they can still carry requests that may be retried.
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
            idle.retain(|connection| connection.idle() <= IDLE_TIMEOUT);
            !idle.is_empty()
        });
    }
}
