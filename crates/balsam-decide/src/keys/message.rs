//! Inputs and outputs of the [`Assigner`](super::Assigner).

use crate::directory::Upstreams;
use crate::evacuation::EvacuatedZones;
use balsam_types::{
    DaemonName, FencingToken, Incarnation, KeyRange, Owner, ServiceName, ServiceRanges, ShardKey,
    StoreEra, TimeMs, UpstreamName,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The version of a row in the store, with the era in which it was read or written; the number 0
/// stands for a row that does not exist.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowVersion(pub u64);

impl RowVersion {
    /// Returns the version of a row that does not exist in an era.
    pub const fn absent(era: StoreEra) -> Self {
        Self(era.absent())
    }

    /// Returns the era of the store in which the row had this version.
    pub const fn era(self) -> StoreEra {
        StoreEra::of(self.0)
    }

    /// Returns whether the row does not exist.
    pub const fn is_absent(self) -> bool {
        StoreEra::number(self.0) == 0
    }
}

/// A daemon in one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonIdentity {
    /// The daemon's name, which stays the same across restarts.
    pub daemon: DaemonName,
    /// The incarnation, which differs after every start of the daemon.
    pub incarnation: Incarnation,
    /// Where the daemon receives datagrams from other daemons.
    pub address: SocketAddr,
}

/// What a daemon observed of the requests for one service since its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The keys of the requests, one entry for each request.
    pub keys: Vec<ShardKey>,
    /// The upstreams that served requests, each with the response time in milliseconds.
    pub answers: Vec<(UpstreamName, u32)>,
}

/// The row that names the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredLead {
    /// The row's version.
    pub version: RowVersion,
    /// The leader, or `None` if there has never been one.
    pub leader: Option<DaemonIdentity>,
}

/// The row of one service's assignments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRanges {
    /// The row's version.
    pub version: RowVersion,
    /// The assignments.
    pub ranges: Arc<ServiceRanges>,
}

/// Identifies an order of this daemon to an upstream; unrelated to the orders of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);

/// What an order asks an upstream to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Hold the keys, as a lease.
    Grant {
        /// Duration of the lease, counted from the arrival of the order, in milliseconds.
        hold_ms: u64,
        /// The handover token that the former owner returned. It lets the new owner serve the keys
        /// without a slow start.
        handover: Option<Arc<str>>,
    },
    /// Stop accepting work on the keys, and respond when the work in progress has ended.
    Release,
}

/// An order of the leader to an upstream: to hold a range of keys or to release it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Identifies the order in the matching [`AssignerInput::Ordered`].
    pub id: OrderId,
    /// The service.
    pub service: ServiceName,
    /// The upstream.
    pub to: Owner,
    /// The keys.
    pub range: KeyRange,
    /// The fencing token; an upstream refuses grants with a lower token than the highest one that it
    /// has seen for a key.
    pub fence: FencingToken,
    /// What the upstream is to do.
    pub kind: OrderKind,
    /// Whether this is the first grant of a moving range to its next owner.
    pub ends_move: bool,
    /// When this daemon's right to give orders expires. The sender checks it once more, because
    /// time may pass between the decision and the sending.
    pub send_before: TimeMs,
    /// How long the sender waits for the response, in milliseconds.
    pub timeout_ms: u64,
}

/// The result of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The upstream holds the keys.
    Granted,
    /// The upstream holds none of the keys and refuses older orders on them.
    Released {
        /// The token to pass to the next owner.
        handover: Option<Arc<str>>,
    },
    /// The upstream has seen a higher fencing token on one of the keys.
    Fenced,
    /// The upstream's process has ended: another upstream responds at its address.
    Ended {
        /// The upstream that responds there.
        successor: UpstreamName,
        /// Whether the successor may execute an order that was meant for its predecessor.
        takes_orders: bool,
    },
    /// No connection could be opened, so the order did not arrive.
    ///
    /// This does not show that the upstream has ended, because a busy upstream refuses connections
    /// as well.
    Unreached,
    /// The upstream refused the order for another reason.
    Refused {
        /// The HTTP status of the response.
        status: u16,
    },
    /// The order was not sent, because this daemon's right to give orders had expired.
    NotSent,
    /// No response came in time. The order may have arrived before this result, but cannot arrive
    /// after it.
    NoAnswer,
}

/// A conditional write of rows, which succeeds only if they still have the expected versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// Makes this daemon the leader.
    TakeLead {
        /// The version that the leader's row must have.
        expected: RowVersion,
        /// This daemon.
        leader: DaemonIdentity,
    },
    /// Writes the assignments of one service while this daemon is the leader.
    Assign {
        /// The version that the leader's row must have.
        lead: RowVersion,
        /// The version that the row of the assignments must have.
        expected: RowVersion,
        /// The assignments.
        ranges: Arc<ServiceRanges>,
    },
}

/// The result of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitResult {
    /// The rows were written and have this version.
    Done(RowVersion),
    /// A row has another version, so nothing was written.
    Conflict,
    /// Nothing was written.
    Failed,
    /// The write may have happened, or may still happen if its condition holds.
    Unknown,
}

/// Inputs of the [`Assigner`](super::Assigner).
#[derive(Clone, Debug)]
pub enum AssignerInput {
    /// The store answers in this era. It comes before the rows of the same answer.
    Era(StoreEra),
    /// The leader's row, as read from the store or received from the leader.
    Lead(StoredLead),
    /// The row of a service's assignments.
    Ranges(StoredRanges),
    /// The rows that [`AssignerOutput::Reload`] requested have been read and given as inputs.
    Reloaded,
    /// The rows could not be read.
    ReloadFailed,
    /// The leader's row was read for [`AssignerOutput::Confirm`].
    Confirmed {
        /// When the read began.
        asked_at: TimeMs,
        /// The version of the row, or `None` if it could not be read.
        version: Option<RowVersion>,
    },
    /// A heartbeat of the leader arrived.
    Heard {
        /// The leader's incarnation.
        incarnation: Incarnation,
        /// Whether all grants of earlier leaders have expired.
        is_settled: bool,
        /// Whether this daemon should replace the leader. That is so if the leader is shutting
        /// down, or if the store responds to this daemon and has not responded to the leader for
        /// long.
        should_replace: bool,
    },
    /// A daemon runs in this incarnation, so its previous incarnation has ended.
    Alive(DaemonIdentity),
    /// The current or former leader in this incarnation has sent its last order.
    Resigned(Incarnation),
    /// This daemon is about to stop: it gives orders only until another daemon has become leader.
    Leave,
    /// This daemon stops now and sends no further orders.
    Stop,
    /// The leader has committed assignments that this daemon does not know.
    Behind,
    /// The known upstreams and keyed services.
    Cluster {
        /// The upstreams of all services.
        upstreams: Arc<Upstreams>,
        /// The services whose keys have one owner each.
        keyed: Vec<ServiceName>,
    },
    /// The evacuated zones, whose upstreams should own no keys.
    Evacuated(Arc<EvacuatedZones>),
    /// A commit has ended.
    Committed(CommitResult),
    /// An order has ended.
    Ordered {
        /// The order.
        id: OrderId,
        /// Its result.
        result: OrderResult,
    },
    /// A daemon reports the load that it observed.
    Sampled {
        /// The service.
        service: ServiceName,
        /// The requests since the daemon's previous report.
        report: LoadReport,
    },
    /// An upstream refused a request because it does not hold the key.
    NotHeld {
        /// The service.
        service: ServiceName,
        /// The key.
        key: ShardKey,
    },
    /// Time has passed; whatever is due is returned as outputs.
    Tick,
}

/// Outputs of the [`Assigner`](super::Assigner).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AssignerOutput {
    /// Write rows; at most one commit is in flight at a time.
    Commit(Commit),
    /// Read the leader's row and all rows of assignments.
    Reload,
    /// Read the leader's row, to confirm that this daemon is still the leader.
    Confirm,
    /// Send an order to an upstream.
    Order(Order),
    /// The next owner of a moving range holds its keys; the row that records the end of the move is
    /// still to be written.
    Moved {
        /// The service.
        service: ServiceName,
        /// The fencing token of the assignment.
        fence: FencingToken,
    },
}
