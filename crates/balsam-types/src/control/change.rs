//! Changes of the control state.

use super::{DaemonInfo, QuarantineEntry, UnitMove, UpstreamInfo};
use crate::settings::NodeEdit;
use crate::{
    AttemptId, Epoch, Fingerprint, Incarnation, KeyHash, ServiceName, UnitId, UpstreamName,
};
use serde::{Deserialize, Serialize};

/// Why daemons leave the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RemovalReason {
    /// The daemon stopped in order.
    Left,
    /// The daemon does not answer.
    Silent,
    /// A newer incarnation answers at the same address.
    Replaced,
    /// An operator declared it dead.
    Forgotten,
}

/// One change of the control state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Edits of the settings tree, all or none.
    Settings {
        /// The edits, each guarded by its node's version.
        edits: Vec<NodeEdit>,
    },
    /// A daemon joins the roster and replaces earlier incarnations at its address.
    DaemonJoined {
        /// The daemon.
        daemon: DaemonInfo,
    },
    /// Daemons leave the roster.
    DaemonsRemoved {
        /// The daemons' incarnations.
        incarnations: Vec<Incarnation>,
        /// Why they leave.
        reason: RemovalReason,
    },
    /// A majority of each roster up to an epoch has adopted a newer epoch.
    RostersClosed {
        /// Rosters in force at this epoch or earlier are closed.
        through: Epoch,
    },
    /// A daemon becomes the placer.
    PlacerTaken {
        /// The new placer.
        incarnation: Incarnation,
    },
    /// Upstreams join or change.
    UpstreamsChanged {
        /// The upstreams as they are from now on; their `dispatcher` fields are ignored.
        upstreams: Vec<UpstreamInfo>,
    },
    /// Upstreams that own nothing are forgotten.
    UpstreamsRemoved {
        /// The upstreams' names.
        names: Vec<UpstreamName>,
    },
    /// Upstreams get another dispatcher, or none while old rights lapse.
    DispatchersAssigned {
        /// Each upstream with its dispatcher.
        pairs: Vec<(UpstreamName, Option<Incarnation>)>,
    },
    /// Units are suspended on their way to another owner.
    UnitsMoving {
        /// The service.
        service: ServiceName,
        /// The moves.
        moves: Vec<UnitMove>,
    },
    /// Units get their owner: the end of a move, or a first owner.
    UnitsOwned {
        /// The service.
        service: ServiceName,
        /// Each unit with its owner.
        units: Vec<(UnitId, UpstreamName)>,
    },
    /// Hot keys become units of their own, suspended until they get their owner.
    HotKeysSplit {
        /// The service.
        service: ServiceName,
        /// Each key with its next owner.
        keys: Vec<(KeyHash, UpstreamName)>,
    },
    /// Hot keys return to their slices; the key's unit must have the slice's owner.
    HotKeysMerged {
        /// The service.
        service: ServiceName,
        /// The keys.
        keys: Vec<KeyHash>,
    },
    /// A request is quarantined.
    Quarantined {
        /// The entry.
        entry: QuarantineEntry,
    },
    /// A quarantined request is accepted again.
    QuarantineCleared {
        /// The entry's fingerprint.
        fingerprint: Fingerprint,
    },
}

/// One entry of the change log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The epoch that the change makes.
    pub epoch: Epoch,
    /// The attempt that committed it.
    pub attempt: AttemptId,
    /// The daemon that committed it.
    pub author: Incarnation,
    /// The change.
    pub change: Change,
}
