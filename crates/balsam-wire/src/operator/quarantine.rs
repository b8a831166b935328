//! Quarantined requests.

use super::IdText;
use balsam_decide::control::ControlState;
use balsam_types::control::QuarantineEntry;
use balsam_types::{Epoch, ServiceName};
use serde::{Deserialize, Serialize};

/// The answer of `GET /v1/quarantine`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineResponse {
    /// The epoch of the answer.
    pub epoch: Epoch,
    /// The entries in the order of their fingerprints.
    pub entries: Vec<QuarantineBody>,
}

/// A quarantined request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineBody {
    /// What equal requests have in common.
    pub fingerprint: IdText,
    /// The service that the request addresses.
    pub service: ServiceName,
    /// Upstream connections that broke before the entry was made.
    pub crashes: u32,
    /// How long the request is refused, in milliseconds from when a daemon adopts the entry.
    pub ttl_ms: u64,
}

impl QuarantineResponse {
    /// Makes the answer from the control state.
    pub fn new(state: &ControlState) -> Self {
        let entries = state.quarantine.values();
        Self {
            epoch: state.epoch,
            entries: entries.map(QuarantineBody::from).collect(),
        }
    }
}

impl From<&QuarantineEntry> for QuarantineBody {
    fn from(entry: &QuarantineEntry) -> Self {
        Self {
            fingerprint: entry.fingerprint.into(),
            service: entry.service.clone(),
            crashes: entry.crashes,
            ttl_ms: entry.ttl_ms,
        }
    }
}
