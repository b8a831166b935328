//! The platform's list of instances, which may be out of date.

use crate::{ServiceName, UpstreamName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceKind {
    /// A balsamswitch daemon.
    Daemon,
    /// An upstream server.
    Upstream,
}

/// The lifecycle state of an instance, as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// The instance is running.
    Live,
    /// The platform is about to remove the instance.
    Leaving,
}

/// One entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The name of the instance, which for an upstream is also the upstream's name.
    pub name: UpstreamName,
    /// What the instance runs.
    pub kind: InstanceKind,
    /// The service that the instance serves; `None` for a daemon.
    pub service: Option<ServiceName>,
    /// The availability zone of the instance.
    pub zone: ZoneName,
    /// The address for both requests and control calls.
    pub address: SocketAddr,
    /// The number of requests that the instance can run concurrently.
    pub slots: u32,
    /// The number of connections that the instance accepts.
    pub connections: u32,
    /// The reported state, which may be out of date.
    pub state: InstanceState,
    /// Whether the instance rejects requests for units outside its grant.
    pub checks_grants: bool,
}
