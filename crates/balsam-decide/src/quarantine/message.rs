//! Messages of the quarantine machine.

use balsam_types::control::QuarantineEntry;
use balsam_types::{Fingerprint, Incarnation, ServiceName, TimeMs};
use std::collections::BTreeMap;

/// The policy of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantinePolicy {
    /// Crashes after which equal requests are refused.
    pub crashes: u32,
    /// How long they are refused, and how long a crash counts, in milliseconds.
    pub ttl_ms: u64,
}

/// One count of the shared row. Each daemon writes only its own counts, so that merging the row
/// twice counts nothing twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashCount {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The service that it addresses.
    pub service: ServiceName,
    /// The daemon that saw the crashes.
    pub by: Incarnation,
    /// The crashes that it saw.
    pub crashes: u32,
}

/// An input of the quarantine machine.
#[derive(Clone, Debug)]
pub enum QuarantineInput {
    /// A request broke its upstream connection before a response head.
    Crashed {
        /// The service that the request addresses.
        service: ServiceName,
        /// The request.
        fingerprint: Fingerprint,
        /// When the request was sent.
        sent_at: TimeMs,
    },
    /// The shared row was read.
    Row(Vec<CrashCount>),
    /// A control state was adopted.
    Adopted(BTreeMap<Fingerprint, QuarantineEntry>),
    /// The policies changed.
    Policies(BTreeMap<ServiceName, QuarantinePolicy>),
    /// Time has passed.
    Tick,
}

/// An output of the quarantine machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineOutput {
    /// The shared row should be read and then written with [`super::Quarantine::row`].
    ShareCounts,
    /// The threshold is reached; the entry should be committed.
    Commit(QuarantineEntry),
    /// The entry's time is over; the placer should commit that it is cleared.
    Clear {
        /// The request.
        fingerprint: Fingerprint,
    },
}
