//! Upstreams in the control state.

use crate::{Incarnation, ServiceName, UpstreamName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether an upstream accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamStatus {
    /// The upstream can own units.
    Active,
    /// The upstream hands over its units and receives no new work.
    Draining,
    /// The upstream stopped responding.
    Lost,
}

/// The control state's record of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamInfo {
    /// The upstream's name.
    pub name: UpstreamName,
    /// The service that the upstream serves.
    pub service: ServiceName,
    /// The availability zone of the upstream.
    pub zone: ZoneName,
    /// The address for both requests and control calls.
    pub address: SocketAddr,
    /// The number of requests that the upstream can run concurrently.
    pub slots: u32,
    /// The number of connections that the upstream accepts.
    pub connections: u32,
    /// Whether the upstream rejects requests for units outside its grant.
    pub checks_grants: bool,
    /// Whether the upstream accepts work.
    pub status: UpstreamStatus,
    /// Whether an operator requested the drain; such a drain is not undone by the instance list.
    pub drained_by_operator: bool,
    /// The daemon that queues requests for the upstream and sends them.
    pub dispatcher: Option<Incarnation>,
}
