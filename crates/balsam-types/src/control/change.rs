//! Changes to the control state, as entries of the replicated change log.

use super::{DaemonInfo, QuarantineEntry, UnitMove, UpstreamInfo};
use crate::settings::NodeEdit;
use crate::{
    AttemptId, Epoch, Fingerprint, Incarnation, KeyHash, ServiceName, UnitId, UpstreamName,
};
use serde::{Deserialize, Serialize};

/// Why daemons are removed from the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RemovalReason {
    /// The daemon shut down gracefully.
    Left,
    /// The daemon stopped responding.
    Silent,
    /// A newer incarnation responds at the same address.
    Replaced,
    /// An operator declared the daemon dead.
    Forgotten,
}

/// A change to the control state, committed as one log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Edits of the settings tree, applied atomically.
    Settings {
        /// The edits, each conditional on the version of its node.
        edits: Vec<NodeEdit>,
    },
    /// A daemon joins the roster, replacing earlier incarnations at its address.
    DaemonJoined {
        /// The daemon that joins.
        daemon: DaemonInfo,
    },
    /// Daemons are removed from the roster.
    DaemonsRemoved {
        /// The incarnations of the removed daemons.
        incarnations: Vec<Incarnation>,
        /// Why they are removed.
        reason: RemovalReason,
    },
    /// A majority of each roster up to an epoch has adopted a newer epoch, which closes these
    /// rosters.
    RostersClosed {
        /// Rosters in force at this epoch or earlier are closed.
        through: Epoch,
    },
    /// A daemon becomes the placer, which assigns units to upstreams.
    PlacerTaken {
        /// The new placer.
        incarnation: Incarnation,
    },
    /// Upstreams are added or updated.
    UpstreamsChanged {
        /// The new records of the upstreams; their `dispatcher` fields are ignored.
        upstreams: Vec<UpstreamInfo>,
    },
    /// Upstreams that own no units are removed.
    UpstreamsRemoved {
        /// The names of the removed upstreams.
        names: Vec<UpstreamName>,
    },
    /// Upstreams are assigned another dispatcher, or none until the leases of the former one have
    /// expired.
    DispatchersAssigned {
        /// Each upstream with its new dispatcher.
        pairs: Vec<(UpstreamName, Option<Incarnation>)>,
    },
    /// Units are suspended while they move to another owner.
    UnitsMoving {
        /// The service.
        service: ServiceName,
        /// The moves that start.
        moves: Vec<UnitMove>,
    },
    /// Units are assigned an owner, either at the end of a move or for the first time.
    UnitsOwned {
        /// The service.
        service: ServiceName,
        /// Each unit with its owner.
        units: Vec<(UnitId, UpstreamName)>,
    },
    /// Hot keys become separate units, suspended until an owner is assigned.
    HotKeysSplit {
        /// The service.
        service: ServiceName,
        /// Each key with the owner that it moves to.
        keys: Vec<(KeyHash, UpstreamName)>,
    },
    /// Hot keys are merged back into their slices; the unit of each key must have the same owner as
    /// its slice.
    HotKeysMerged {
        /// The service.
        service: ServiceName,
        /// The keys to merge.
        keys: Vec<KeyHash>,
    },
    /// A request is added to the quarantine.
    Quarantined {
        /// The quarantine entry.
        entry: QuarantineEntry,
    },
    /// A request is removed from the quarantine and accepted again.
    QuarantineCleared {
        /// The fingerprint of the quarantine entry.
        fingerprint: Fingerprint,
    },
}

/// One entry of the change log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The epoch that results from the change.
    pub epoch: Epoch,
    /// The commit attempt that wrote the entry.
    pub attempt: AttemptId,
    /// The daemon that committed the entry.
    pub author: Incarnation,
    /// The committed change.
    pub change: Change,
}
