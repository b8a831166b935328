//! The list of instances.

use balsam_types::control::{Instance, InstanceKind, InstanceState};
use balsam_types::{ServiceName, UpstreamName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceKindBody {
    /// A daemon of this system.
    Daemon,
    /// An upstream.
    Upstream,
}

/// What the platform says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceStateBody {
    /// The instance runs.
    Live,
    /// The instance is about to be taken away.
    Leaving,
}

/// One entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceBody {
    /// The instance's name.
    pub name: UpstreamName,
    /// What it runs.
    pub kind: InstanceKindBody,
    /// The service it serves; `None` for a daemon.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its address for work and control.
    pub address: SocketAddr,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// What the platform says of it.
    pub state: InstanceStateBody,
    /// Whether it refuses requests that its grant does not cover.
    pub checks_grants: bool,
}

/// A test's change of the instance list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstancesUpdate {
    /// Instances to add, or to replace where the name is listed already.
    #[serde(default)]
    pub put: Vec<InstanceBody>,
    /// Instances to remove.
    #[serde(default)]
    pub remove: Vec<UpstreamName>,
    /// How long changes stay invisible from now on, in milliseconds; `None` keeps the lag.
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
