//! Upstreams of the control state.

use crate::{Incarnation, ServiceName, UpstreamName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether an upstream takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamStatus {
    /// The upstream can own units.
    Active,
    /// The upstream gives up its units and gets no new work.
    Draining,
    /// The upstream does not answer.
    Lost,
}

/// An upstream as the control state lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamInfo {
    /// The upstream's name.
    pub name: UpstreamName,
    /// The service that it serves.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its address for work and control.
    pub address: SocketAddr,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// Whether it refuses requests that its grant does not cover.
    pub checks_grants: bool,
    /// Whether it takes work.
    pub status: UpstreamStatus,
    /// Whether an operator asked for the drain, so that the instance list does not undo it.
    pub drained_by_operator: bool,
    /// The daemon that queues and sends requests to it.
    pub dispatcher: Option<Incarnation>,
}
