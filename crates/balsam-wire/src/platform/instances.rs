//! The platform's instance list.

use balsam_types::control::{Instance, InstanceKind, InstanceState};
use balsam_types::{ServiceName, UpstreamName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceKindBody {
    /// A balsamswitch daemon.
    Daemon,
    /// An upstream server.
    Upstream,
}

/// The lifecycle state of an instance, as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceStateBody {
    /// The instance is running.
    Live,
    /// The platform is about to remove the instance.
    Leaving,
}

/// One entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceBody {
    /// The name of the instance.
    pub name: UpstreamName,
    /// What the instance runs.
    pub kind: InstanceKindBody,
    /// The service that the instance serves; `None` for a daemon.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// The availability zone of the instance.
    pub zone: ZoneName,
    /// The address for both requests and control calls.
    pub address: SocketAddr,
    /// The number of requests that the instance can run concurrently.
    pub slots: u32,
    /// The number of connections that the instance accepts.
    pub connections: u32,
    /// The reported state.
    pub state: InstanceStateBody,
    /// Whether the instance rejects requests for units outside its grant.
    pub checks_grants: bool,
}

/// A test's update of the instance list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstancesUpdate {
    /// Instances to add, or to replace if the name is already listed.
    #[serde(default)]
    pub put: Vec<InstanceBody>,
    /// The names of instances to remove.
    #[serde(default)]
    pub remove: Vec<UpstreamName>,
    /// The delay until later changes become visible, in milliseconds; `None` keeps the current one.
    #[serde(default)]
    pub lag_ms: Option<u64>,
}

impl From<InstanceKind> for InstanceKindBody {
    fn from(kind: InstanceKind) -> Self {
        match kind {
            InstanceKind::Daemon => Self::Daemon,
            InstanceKind::Upstream => Self::Upstream,
        }
    }
}

impl From<InstanceKindBody> for InstanceKind {
    fn from(kind: InstanceKindBody) -> Self {
        match kind {
            InstanceKindBody::Daemon => Self::Daemon,
            InstanceKindBody::Upstream => Self::Upstream,
        }
    }
}

impl From<InstanceState> for InstanceStateBody {
    fn from(state: InstanceState) -> Self {
        match state {
            InstanceState::Live => Self::Live,
            InstanceState::Leaving => Self::Leaving,
        }
    }
}

impl From<InstanceStateBody> for InstanceState {
    fn from(state: InstanceStateBody) -> Self {
        match state {
            InstanceStateBody::Live => Self::Live,
            InstanceStateBody::Leaving => Self::Leaving,
        }
    }
}

impl From<Instance> for InstanceBody {
    fn from(instance: Instance) -> Self {
        Self {
            name: instance.name,
            kind: instance.kind.into(),
            service: instance.service,
            zone: instance.zone,
            address: instance.address,
            slots: instance.slots,
            connections: instance.connections,
            state: instance.state.into(),
            checks_grants: instance.checks_grants,
        }
    }
}

impl From<InstanceBody> for Instance {
    fn from(body: InstanceBody) -> Self {
        Self {
            name: body.name,
            kind: body.kind.into(),
            service: body.service,
            zone: body.zone,
            address: body.address,
            slots: body.slots,
            connections: body.connections,
            state: body.state.into(),
            checks_grants: body.checks_grants,
        }
    }
}
