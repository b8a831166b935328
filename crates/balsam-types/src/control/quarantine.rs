//! Quarantine of requests that repeatedly crashed upstreams.

use crate::{Fingerprint, ServiceName};
use serde::{Deserialize, Serialize};

/// A quarantined request. All requests with the same fingerprint are rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// The fingerprint shared by equal requests.
    pub fingerprint: Fingerprint,
    /// The service that the request addresses.
    pub service: ServiceName,
    /// The number of upstream connections that broke before the request was quarantined.
    pub crashes: u32,
    /// How long a daemon rejects the request after it adopts the entry, in milliseconds.
    pub ttl_ms: u64,
}
