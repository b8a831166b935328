//! What a node asks its task to do.

use super::{Heartbeat, HeartbeatReply, View};
use crate::control::ControlState;
use crate::grants::{Grant, Revoke};
use crate::settings::SettingsError;
use balsam_types::control::{Change, LogEntry, MoveReason, RemovalReason, UpstreamStatus};
use balsam_types::{Epoch, Incarnation, ServiceName, TimeMs, UnitId, UpstreamName};
use snafu::Snafu;
use std::net::SocketAddr;
use std::sync::Arc;

/// Names a request that waits for an answer in the node's task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A peer as a target of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerEndpoint {
    /// The peer's incarnation.
    pub incarnation: Incarnation,
    /// The address of its peer listener.
    pub address: SocketAddr,
}

/// Log entries for a daemon that is behind.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangesBody {
    /// The entries after the wanted epoch.
    Entries(Vec<LogEntry>),
    /// The whole state, if the entries are no longer at hand.
    Snapshot(Box<ControlState>),
}

/// The adopted epoch of one roster daemon, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerEpoch {
    /// The daemon.
    pub incarnation: Incarnation,
    /// Its adopted epoch.
    pub epoch: Epoch,
    /// Time since the last exchange with it, in milliseconds; `None` before the first.
    pub silent_ms: Option<u64>,
}

/// How an operator's command ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandResult {
    /// The change is in force: a majority of each open roster has adopted it.
    Accepted {
        /// The epoch of the change.
        epoch: Epoch,
        /// Whether every roster daemon has adopted it or has lost its right.
        everywhere: bool,
    },
    /// The change is committed and stays, but no majority has adopted it yet.
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
    /// The settings edit is refused.
    #[snafu(display("{source}"))]
    Settings {
        /// Why.
        source: SettingsError,
    },
    /// The named upstream, daemon or entry is not known.
    #[snafu(display("{subject}: not known"))]
    NotFound {
        /// What was named.
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
    /// The daemon holds too many commands.
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
        /// The former owner.
        from: UpstreamName,
        /// The next owner.
        to: UpstreamName,
        /// Why.
        reason: MoveReason,
    },
    /// A unit got its owner.
    Owned {
        /// The service.
        service: ServiceName,
        /// The unit.
        unit: UnitId,
        /// The owner.
        owner: UpstreamName,
        /// Whether the former owner acknowledged; otherwise its rights lapsed.
        acknowledged: bool,
    },
    /// An upstream's status changed.
    UpstreamStatus {
        /// The upstream.
        upstream: UpstreamName,
        /// The status.
        status: UpstreamStatus,
    },
    /// An upstream got a dispatcher.
    Dispatcher {
        /// The upstream.
        upstream: UpstreamName,
        /// The daemon.
        dispatcher: Option<Incarnation>,
    },
    /// A daemon became the placer.
    Placer {
        /// The daemon.
        incarnation: Incarnation,
    },
    /// A daemon left the roster.
    DaemonRemoved {
        /// The daemon.
        incarnation: Incarnation,
        /// Why.
        reason: RemovalReason,
    },
    /// The daemon gained or lost its freshness right.
    Right {
        /// Whether it holds the right now.
        held: bool,
    },
}

/// An output of the node.
#[derive(Clone, Debug)]
pub enum NodeOutput {
    /// Read row `control` and the log entries after `after`; answer with `TableRead`.
    ReadTable {
        /// The node's epoch.
        after: Epoch,
    },
    /// Read the instance list; answer with `Instances`.
    ReadInstances,
    /// Commit `entry` if the table is at the epoch before it; answer with `CommitDone`.
    ///
    /// The task settles lost answers by reading the log row back and repeating the write, until
    /// `give_up_at`.
    Commit {
        /// The entry.
        entry: LogEntry,
        /// When the task stops trying and answers `Unsettled`.
        give_up_at: TimeMs,
    },
    /// Write a snapshot object and row `snapshot`.
    WriteSnapshot(Arc<ControlState>),
    /// Send a pulse.
    SendHeartbeat {
        /// The peer.
        to: PeerEndpoint,
        /// The pulse.
        heartbeat: Heartbeat,
    },
    /// Answer a pulse; a daemon that is leaving the roster answers none.
    AnswerHeartbeat {
        /// The pulse's request.
        request: RequestId,
        /// The answer.
        reply: HeartbeatReply,
    },
    /// Ask a peer for the entries after `after`; answer with `Changes`.
    FetchChanges {
        /// The peer.
        from: PeerEndpoint,
        /// The node's epoch.
        after: Epoch,
    },
    /// Answer a peer's request for changes.
    AnswerChanges {
        /// The request.
        request: RequestId,
        /// The changes.
        body: ChangesBody,
    },
    /// Send a grant; answer with `GrantReply`.
    SendGrant {
        /// The upstream.
        upstream: UpstreamName,
        /// Its address.
        address: SocketAddr,
        /// The end of the right that the grant is sent under; checked again before sending.
        lease_until: TimeMs,
        /// The grant.
        grant: Box<Grant>,
    },
    /// Send a revocation; answer with `RevokeReply`.
    SendRevoke {
        /// The upstream.
        upstream: UpstreamName,
        /// Its address.
        address: SocketAddr,
        /// The revocation.
        revoke: Revoke,
    },
    /// Publish the view to the request path.
    Publish(Arc<View>),
    /// Answer an operator's command.
    AnswerCommand {
        /// The command's request.
        request: RequestId,
        /// How it ended.
        result: CommandResult,
    },
    /// Write a decision to the log.
    Log(Decision),
    /// The daemon has left the roster, or could not within its time, and may exit.
    Left,
}

/// Returns the change of a commit, which tests look for.
impl NodeOutput {
    /// Returns the change, if this output is a commit.
    pub const fn committed_change(&self) -> Option<&Change> {
        match self {
            Self::Commit { entry, .. } => Some(&entry.change),
            _ => None,
        }
    }
}
