//! The inputs and outputs of the quarantine state machine.

use balsam_types::control::QuarantineEntry;
use balsam_types::{Fingerprint, Incarnation, ServiceName, TimeMs};
use std::collections::BTreeMap;

/// The quarantine policy of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantinePolicy {
    /// The number of crashes after which equal requests are refused.
    pub crashes: u32,
    /// How long they are refused, and how long a crash counts, in milliseconds.
    pub ttl_ms: u64,
}

/// The crashes of one request that one daemon observed.
///
/// The daemons exchange these counts through one row of the shared table. Each daemon
/// raises only its own counts, so that merging the same row again raises none. It leaves out counts
/// that have expired or were cleared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashCount {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The service that it addresses.
    pub service: ServiceName,
    /// The daemon that observed the crashes.
    pub by: Incarnation,
    /// The number of crashes that it observed.
    pub crashes: u32,
}

/// An input of the quarantine state machine.
#[derive(Clone, Debug)]
pub enum QuarantineInput {
    /// An upstream connection broke before the response head of the request that it carried.
    Crashed {
        /// The service that the request addresses.
        service: ServiceName,
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// When the request was sent.
        sent_at: TimeMs,
    },
    /// The row of crash counts in the shared table was read.
    Row(Vec<CrashCount>),
    /// This daemon adopted a control state with these quarantine entries.
    Adopted(BTreeMap<Fingerprint, QuarantineEntry>),
    /// The policies changed.
    Policies(BTreeMap<ServiceName, QuarantinePolicy>),
    /// Time has passed.
    Tick,
}

/// An output of the quarantine state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineOutput {
    /// Crashes were counted, cleared or expired: the row of crash counts should be read, passed in
    /// as [`QuarantineInput::Row`] and then written with [`super::Quarantine::row`].
    ShareCounts,
    /// The entry should be committed, because the threshold is reached.
    Commit(QuarantineEntry),
    /// The entry has expired, and the placer should commit that it is cleared.
    Clear {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
    },
}
