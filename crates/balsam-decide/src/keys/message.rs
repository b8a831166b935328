//! What a leader is told and what it wants done.

use crate::directory::Upstreams;
use balsam_types::{
    DaemonName, FencingToken, Incarnation, KeyRange, Owner, ServiceName, ServiceRanges, ShardKey,
    TimeMs, UpstreamName,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The version of a row in the store; 0 stands for a row that does not exist.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowVersion(pub u64);

/// The daemon that assigns keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonIdentity {
    /// The daemon's machine.
    pub daemon: DaemonName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it takes datagrams of other daemons.
    pub address: SocketAddr,
}

/// What a daemon saw of the requests for one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// One key for each request.
    pub keys: Vec<ShardKey>,
    /// The upstreams that served requests, and how long each answer took in milliseconds.
    pub answers: Vec<(UpstreamName, u32)>,
}

/// The row that names the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredLead {
    /// The row's version.
    pub version: RowVersion,
    /// The leader, if there was ever one.
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

/// Names one order of this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);

/// What an upstream is told to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// To hold the keys.
    Grant {
        /// How long, from the arrival of the order, in milliseconds.
        hold_ms: u64,
        /// The token of the former owner, with which the keys are not slow at first.
        handover: Option<Arc<str>>,
    },
    /// To stop new work on the keys, and to answer when running work has ended.
    Release,
}

/// An order on a range of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Names the order.
    pub id: OrderId,
    /// The service.
    pub service: ServiceName,
    /// The upstream.
    pub to: Owner,
    /// The keys.
    pub range: KeyRange,
    /// The fencing token.
    pub fence: FencingToken,
    /// What to do.
    pub kind: OrderKind,
    /// When the right to send it ends; the sender checks it once more.
    pub send_before: TimeMs,
    /// How long the answer is awaited, in milliseconds.
    pub timeout_ms: u64,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The upstream holds the keys.
    Granted,
    /// The upstream holds none of the keys and refuses older orders on them.
    Released {
        /// The token for the next owner.
        handover: Option<Arc<str>>,
    },
    /// The upstream has seen a higher token on one of the keys.
    Fenced,
    /// The upstream's process has ended: another upstream answers at its address.
    Ended,
    /// No connection could be opened, so that the order did not arrive.
    ///
    /// This does not show that the upstream has ended: a busy one refuses connections as well.
    Unreached,
    /// The upstream refused the order for another reason.
    Refused {
        /// The status of its answer.
        status: u16,
    },
    /// The order was not sent, because the right to send it had ended.
    NotSent,
    /// There was no answer; the order may have arrived until now, and no later.
    NoAnswer,
}

/// A change of rows under the condition that they have not changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// Makes this daemon the leader.
    TakeLead {
        /// The version that the row must have.
        expected: RowVersion,
        /// This daemon.
        leader: DaemonIdentity,
    },
    /// Writes assignments while this daemon is the leader.
    Assign {
        /// The version that the row of the leader must have.
        lead: RowVersion,
        /// The version that the row of the assignments must have.
        expected: RowVersion,
        /// The assignments.
        ranges: Arc<ServiceRanges>,
    },
}

/// How a commit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitResult {
    /// The rows were written and have this version.
    Done(RowVersion),
    /// A row has another version; nothing was written.
    Conflict,
    /// Nothing was written.
    Failed,
    /// The change may have been made, or may still be made if its condition holds.
    Unknown,
}

/// What a leader is told.
#[derive(Clone, Debug)]
pub enum AssignerInput {
    /// The row of the leader, as it was read or followed.
    Lead(StoredLead),
    /// The row of a service's assignments.
    Ranges(StoredRanges),
    /// All rows were read after [`AssignerOutput::Reload`].
    Reloaded,
    /// The rows could not be read.
    ReloadFailed,
    /// The row of the leader was read after [`AssignerOutput::Confirm`], which was asked at a time.
    Confirmed {
        /// When the read began.
        asked_at: TimeMs,
        /// The version of the row, or `None` if it could not be read.
        version: Option<RowVersion>,
    },
    /// The leader with this life was heard.
    Heard {
        /// Its life.
        incarnation: Incarnation,
        /// Whether no grant of an earlier leader can hold any more.
        is_settled: bool,
        /// Whether this daemon should take the leader's place, because it leaves or because the
        /// store answers this daemon and has not answered the leader for long.
        should_replace: bool,
    },
    /// A daemon runs in this life; its former life has ended.
    Alive(DaemonIdentity),
    /// The present or the former leader with this life has sent its last order.
    Resigned(Incarnation),
    /// This daemon is about to stop: it gives orders only until another daemon takes its place.
    Leave,
    /// This daemon stops and sends no further order.
    Stop,
    /// The leader has committed assignments that this daemon does not know.
    Behind,
    /// The upstreams and the services that are divided by key.
    Cluster {
        /// The upstreams.
        upstreams: Arc<Upstreams>,
        /// The services.
        keyed: Vec<ServiceName>,
    },
    /// A commit has ended.
    Committed(CommitResult),
    /// An order has ended.
    Ordered {
        /// The order.
        id: OrderId,
        /// How.
        result: OrderResult,
    },
    /// A daemon has sent requests on keys of a service.
    Sampled {
        /// The service.
        service: ServiceName,
        /// What the daemon saw since its last report.
        report: LoadReport,
    },
    /// An upstream refused a request because it does not hold the key.
    NotHeld {
        /// The service.
        service: ServiceName,
        /// The key.
        key: ShardKey,
    },
    /// Time has passed.
    Tick,
}

/// What a leader wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AssignerOutput {
    /// Change rows; one commit is under way at a time.
    Commit(Commit),
    /// Read all rows of the leader and the assignments.
    Reload,
    /// Read the row of the leader.
    Confirm,
    /// Send an order.
    Order(Order),
    /// The next owner of moving keys has them; the row that says so is still to be written.
    Moved {
        /// The service.
        service: ServiceName,
        /// The token of the assignment.
        fence: FencingToken,
    },
}
