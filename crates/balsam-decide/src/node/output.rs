//! The outputs of a node, which its task carries out.

use super::{Heartbeat, HeartbeatReply, View};
use crate::control::ControlState;
use crate::grants::{Grant, Revoke};
use crate::settings::SettingsError;
use balsam_types::control::{Change, LogEntry, MoveReason, RemovalReason, UpstreamStatus};
use balsam_types::{Epoch, Incarnation, ServiceName, TimeMs, UnitId, UpstreamName};
use snafu::Snafu;
use std::net::SocketAddr;
use std::sync::Arc;

/// Identifies a request that waits for its reply in the node's task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The peer to which a message is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerEndpoint {
    /// The peer's incarnation.
    pub incarnation: Incarnation,
    /// The address of its peer listener.
    pub address: SocketAddr,
}

/// The changes that a daemon needs to catch up.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangesBody {
    /// The log entries after the requested epoch.
    Entries(Vec<LogEntry>),
    /// The whole control state, if the entries after the requested epoch are no longer kept.
    Snapshot(Box<ControlState>),
}

/// The adopted epoch of one roster daemon, as last reported to this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerEpoch {
    /// The daemon.
    pub incarnation: Incarnation,
    /// Its adopted epoch.
    pub epoch: Epoch,
    /// Time since the last message from it, in milliseconds; `None` before the first.
    pub silent_ms: Option<u64>,
}

/// The result of an operator command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandResult {
    /// The change is in force: a majority of each open roster has adopted it.
    Accepted {
        /// The epoch of the change.
        epoch: Epoch,
        /// Whether every roster daemon has adopted the change or no longer holds a lease.
        everywhere: bool,
    },
    /// The change is committed and will not be lost, but no majority has adopted it yet.
    Pending {
        /// The epoch of the change.
        epoch: Epoch,
    },
    /// Nothing was changed.
    Refused(CommandFailure),
}

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CommandFailure {
    /// The settings edit is invalid or conflicts with another edit.
    #[snafu(display("{source}"))]
    Settings {
        /// The error of the settings tree.
        source: SettingsError,
    },
    /// The named upstream, daemon or quarantine entry is not known.
    #[snafu(display("{subject}: not known"))]
    NotFound {
        /// The name or id in the command.
        subject: Arc<str>,
    },
    /// The table did not answer, and the change is not committed.
    #[snafu(display("the platform's table does not answer"))]
    TableUnavailable,
    /// The table did not answer, and it is not known whether the change is committed.
    #[snafu(display("the platform's table did not confirm the change; read it back"))]
    Unsettled,
    /// The daemon is stopping.
    #[snafu(display("the daemon is stopping"))]
    Stopping,
    /// The daemon already has the maximum number of pending commands.
    #[snafu(display("too many commands are waiting"))]
    Busy,
}

/// A placement or membership decision, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A unit starts to move.
    MoveStarted {
        /// The service.
        service: ServiceName,
        /// The unit.
        unit: UnitId,
        /// The previous owner.
        from: UpstreamName,
        /// The next owner.
        to: UpstreamName,
        /// Why the unit moves.
        reason: MoveReason,
    },
    /// A unit was assigned to an owner.
    Owned {
        /// The service.
        service: ServiceName,
        /// The unit.
        unit: UnitId,
        /// The owner.
        owner: UpstreamName,
        /// Whether the previous owner acknowledged the revocation; otherwise the leases that could
        /// let it serve the unit have expired.
        acknowledged: bool,
    },
    /// The status of an upstream changed.
    UpstreamStatus {
        /// The upstream.
        upstream: UpstreamName,
        /// The status.
        status: UpstreamStatus,
    },
    /// The dispatcher of an upstream changed.
    Dispatcher {
        /// The upstream.
        upstream: UpstreamName,
        /// The new dispatcher; `None` if the upstream has none.
        dispatcher: Option<Incarnation>,
    },
    /// A daemon became the placer.
    Placer {
        /// The daemon.
        incarnation: Incarnation,
    },
    /// A daemon was removed from the roster.
    DaemonRemoved {
        /// The daemon.
        incarnation: Incarnation,
        /// Why it was removed.
        reason: RemovalReason,
    },
    /// The daemon gained or lost its freshness lease, which the log calls its right.
    Right {
        /// Whether it holds the lease now.
        held: bool,
    },
}

/// An output of the node.
#[derive(Clone, Debug)]
pub enum NodeOutput {
    /// Read row `control` and the log entries after `after`; answered by `TableRead`.
    ReadTable {
        /// The epoch that the node has adopted.
        after: Epoch,
    },
    /// Read the instance list; answered by `Instances`.
    ReadInstances,
    /// Commit `entry` if the table is at the epoch before it; answered by `CommitDone`.
    ///
    /// If a reply is lost, the task reads the log row back and repeats the write until
    /// `give_up_at`.
    Commit {
        /// The entry.
        entry: LogEntry,
        /// When the task stops trying and reports `Unsettled`.
        give_up_at: TimeMs,
    },
    /// Write a snapshot object and row `snapshot`.
    WriteSnapshot(Arc<ControlState>),
    /// Send a heartbeat.
    SendHeartbeat {
        /// The peer.
        to: PeerEndpoint,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// Reply to a heartbeat; a daemon whose removal from the roster is being committed sends no
    /// reply.
    AnswerHeartbeat {
        /// The request of the heartbeat.
        request: RequestId,
        /// The reply.
        reply: HeartbeatReply,
    },
    /// Request the log entries after `after` from a peer; answered by `Changes`.
    FetchChanges {
        /// The peer.
        from: PeerEndpoint,
        /// The epoch that the node has adopted.
        after: Epoch,
    },
    /// Reply to a peer's request for changes.
    AnswerChanges {
        /// The request.
        request: RequestId,
        /// The changes.
        body: ChangesBody,
    },
    /// Send a grant; answered by `GrantReply`.
    SendGrant {
        /// The upstream.
        upstream: UpstreamName,
        /// Its address.
        address: SocketAddr,
        /// The expiry of the lease under which the grant is sent; checked again before sending.
        lease_until: TimeMs,
        /// The grant.
        grant: Box<Grant>,
    },
    /// Send a revocation; answered by `RevokeReply`.
    SendRevoke {
        /// The upstream.
        upstream: UpstreamName,
        /// Its address.
        address: SocketAddr,
        /// The revocation.
        revoke: Revoke,
    },
    /// Publish a new view to the request path.
    Publish(Arc<View>),
    /// Answer an operator command.
    AnswerCommand {
        /// The command's request.
        request: RequestId,
        /// The result of the command.
        result: CommandResult,
    },
    /// Write a decision to the log.
    Log(Decision),
    /// The daemon has left the roster or given up trying to, and may exit.
    Left,
}

impl NodeOutput {
    /// Returns the change, if this output is a commit; used by tests.
    pub const fn committed_change(&self) -> Option<&Change> {
        match self {
            Self::Commit { entry, .. } => Some(&entry.change),
            _ => None,
        }
    }
}
