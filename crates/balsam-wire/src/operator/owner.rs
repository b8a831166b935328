//! The response that names the owner of a key.

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
    /// The key currently has no owner.
    Suspended,
}

/// The response to `GET /v1/owner`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerResponse {
    /// The control epoch that the response describes.
    pub epoch: Epoch,
    /// The service.
    pub service: ServiceName,
    /// The key that was looked up.
    pub key: String,
    /// The unit that contains the key.
    pub unit: IdText,
    /// Whether the key is served.
    pub state: OwnerState,
    /// The owning upstream.
    pub upstream: Option<UpstreamName>,
    /// The owner's address.
    pub address: Option<SocketAddr>,
    /// The daemon that dispatches requests to the owner.
    pub dispatcher: Option<IdText>,
    /// The minimum control epoch of requests that the owner accepts.
    pub fence_epoch: Option<Epoch>,
}

impl OwnerResponse {
    /// Creates the response from the location of `key`; `None` if the service does not exist.
    pub fn new(
        epoch: Epoch,
        service: ServiceName,
        key: String,
        location: Location,
    ) -> Option<Self> {
        match location {
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
