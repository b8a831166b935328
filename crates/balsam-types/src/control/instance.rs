//! The platform's lagging list of instances.

use crate::{ServiceName, UpstreamName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceKind {
    /// A daemon of this system.
    Daemon,
    /// An upstream.
    Upstream,
}

/// What the platform says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// The instance runs.
    Live,
    /// The instance is about to be taken away.
    Leaving,
}

/// One line of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The instance's name; for an upstream, the upstream's name.
    pub name: UpstreamName,
    /// What it runs.
    pub kind: InstanceKind,
    /// The service it serves; `None` for a daemon.
    pub service: Option<ServiceName>,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its address for work and control.
    pub address: SocketAddr,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// What the platform says of it; may lag.
    pub state: InstanceState,
    /// Whether it refuses requests that its grant does not cover.
    pub checks_grants: bool,
}
