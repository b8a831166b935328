//! Requests that are refused because equal ones crashed upstreams.

use crate::{Fingerprint, ServiceName};
use serde::{Deserialize, Serialize};

/// A quarantined request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// What equal requests have in common.
    pub fingerprint: Fingerprint,
    /// The service that the request addresses.
    pub service: ServiceName,
    /// Upstream connections that broke before the entry was made.
    pub crashes: u32,
    /// How long the request is refused, in milliseconds from when a daemon adopts the entry.
    pub ttl_ms: u64,
}
