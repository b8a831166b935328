//! The response that lists quarantined requests.

use super::IdText;
use balsam_decide::control::ControlState;
use balsam_types::control::QuarantineEntry;
use balsam_types::{Epoch, ServiceName};
use serde::{Deserialize, Serialize};

/// The response to `GET /v1/quarantine`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineResponse {
    /// The control epoch that the response describes.
    pub epoch: Epoch,
    /// The entries, sorted by fingerprint.
    pub entries: Vec<QuarantineBody>,
}

/// A quarantined request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineBody {
    /// The fingerprint shared by equal requests.
    pub fingerprint: IdText,
    /// The service that the request addresses.
    pub service: ServiceName,
    /// The number of upstream connections that broke before the response head of this or an equal
    /// request, counted up to the quarantine.
    pub crashes: u32,
    /// How long a daemon rejects the request, in milliseconds from when it starts to use a control
    /// state that contains the entry.
    pub ttl_ms: u64,
}

impl QuarantineResponse {
    /// Creates the response from the control state.
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
