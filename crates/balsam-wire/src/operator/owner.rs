//! The owner of a key.

use super::IdText;
use balsam_decide::node::Location;
use balsam_types::{Epoch, ServiceName, UpstreamName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether a key is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OwnerState {
    /// An upstream owns the key.
    Owned,
    /// The key has no owner at this moment.
    Suspended,
}

/// The answer of `GET /v1/owner`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerResponse {
    /// The epoch of the answer.
    pub epoch: Epoch,
    /// The service.
    pub service: ServiceName,
    /// The key.
    pub key: String,
    /// The unit that holds the key.
    pub unit: IdText,
    /// Whether the key is served.
    pub state: OwnerState,
    /// The owner.
    pub upstream: Option<UpstreamName>,
    /// The owner's address.
    pub address: Option<SocketAddr>,
    /// The daemon that dispatches for the owner.
    pub dispatcher: Option<IdText>,
    /// The epoch that requests to the owner must have reached.
    pub fence_epoch: Option<Epoch>,
}

impl OwnerResponse {
    /// Makes the answer from where `key` is located; `None` if the service does not exist.
    pub fn new(epoch: Epoch, service: ServiceName, key: String, located: Location) -> Option<Self> {
        match located {
            Location::UnknownService => None,
            Location::Suspended { unit } => Some(Self {
                epoch,
                service,
                key,
                unit: IdText(unit.0),
                state: OwnerState::Suspended,
                upstream: None,
                address: None,
                dispatcher: None,
                fence_epoch: None,
            }),
            Location::At {
                unit,
                upstream,
                dispatcher,
                fence_epoch,
            } => Some(Self {
                epoch,
                service,
                key,
                unit: IdText(unit.0),
                state: OwnerState::Owned,
                address: Some(upstream.address),
                upstream: Some(upstream.name),
                dispatcher: dispatcher.map(|daemon| daemon.incarnation.into()),
                fence_epoch: Some(fence_epoch),
            }),
        }
    }
}
