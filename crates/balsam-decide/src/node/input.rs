//! The inputs of a node.

use super::output::{ChangesBody, RequestId};
use crate::control::ControlState;
use crate::grants::{Grant, GrantReply, RevokeReply};
use balsam_types::control::{DaemonInfo, Instance, LogEntry};
use balsam_types::settings::NodeEdit;
use balsam_types::{
    AttemptId, Epoch, Fingerprint, Incarnation, KeyHash, Round, TimeMs, UnitId, UpstreamName,
};
use std::net::SocketAddr;
use std::sync::Arc;

/// The periodic heartbeat from one daemon to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The sender.
    pub from: DaemonInfo,
    /// The control epoch that the sender has adopted.
    pub epoch: Epoch,
    /// The sender's lease round; round 0 only announces the epoch and collects no acknowledgements.
    pub round: Round,
    /// Whether the sender's last table read succeeded.
    pub table_ok: bool,
    /// Whether the sender is stopping and hands over its upstreams.
    pub leaving: bool,
    /// The state of the sender's upstreams; empty unless the receiver is the placer.
    pub reports: Vec<UpstreamReport>,
}

/// The reply to a [`Heartbeat`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatReply {
    /// The incarnation of the daemon that replies.
    pub incarnation: Incarnation,
    /// The control epoch of the daemon that replies.
    ///
    /// If it equals the heartbeat's epoch, the reply acknowledges the sender's lease round.
    pub epoch: Epoch,
    /// The round of the heartbeat.
    pub round: Round,
}

/// A dispatcher's report to the placer on one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamReport {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Whether the upstream is silent as defined by [`crate::grants::GrantHealth`].
    pub silent: bool,
    /// Whether the last two grant exchanges succeeded.
    pub answering: bool,
    /// Whether the upstream says that it is draining.
    pub draining: bool,
    /// Slot time used in the last reporting period, in milliseconds per second.
    pub load: f64,
    /// The units with the highest load and their share of `load`, in the same unit; at most 64.
    pub heavy_units: Vec<(UnitId, f64)>,
    /// The keys with the highest load and their share of `load`, in the same unit; at most 16.
    pub heavy_keys: Vec<(KeyHash, f64)>,
}

/// The result of a table read.
#[derive(Clone, Debug, PartialEq)]
pub enum TableResult {
    /// The table holds this epoch, and the log still has all entries after the requested epoch.
    Read {
        /// The epoch of row `control`.
        epoch: Epoch,
        /// The log entries after the requested epoch, in order and without gaps.
        entries: Vec<LogEntry>,
    },
    /// The log no longer goes back to the requested epoch, so the newest snapshot replaces the
    /// state.
    Snapshot {
        /// The epoch of row `control`.
        epoch: Epoch,
        /// The newest snapshot.
        state: Box<ControlState>,
        /// The log entries after the snapshot.
        entries: Vec<LogEntry>,
    },
    /// The table did not answer in time.
    Failed,
}

/// The result of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitResult {
    /// The change is committed as the next epoch.
    Committed,
    /// Another change was committed under the same epoch.
    Lost,
    /// The table did not answer, so it is unknown whether the change is committed.
    Unsettled,
}

/// An operator command.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorCommand {
    /// Edits settings; with `wait`, the command is answered once the edit is in force everywhere.
    Edit {
        /// The edits, committed together.
        edits: Vec<NodeEdit>,
        /// Whether to wait until every daemon that may hold a lease has adopted the edit.
        wait: bool,
    },
    /// Drains an upstream or cancels its drain.
    Drain {
        /// The upstream.
        upstream: UpstreamName,
        /// Whether to drain the upstream; `false` cancels the drain.
        drain: bool,
    },
    /// Removes a daemon that is known to have ended from the roster.
    Forget {
        /// The daemon.
        incarnation: Incarnation,
    },
    /// Removes a request from quarantine, so that it is accepted again.
    ClearQuarantine {
        /// The fingerprint of the quarantine entry.
        fingerprint: Fingerprint,
    },
    /// Quarantines a request; issued by the daemon itself.
    Quarantine {
        /// The quarantine entry.
        entry: balsam_types::control::QuarantineEntry,
    },
}

/// An input of the node.
#[derive(Clone, Debug)]
pub enum NodeInput {
    /// Time has passed; sent at least every [`balsam_types::timing::HEARTBEAT_INTERVAL_MS`] / 5.
    Tick,
    /// A table read has ended.
    TableRead {
        /// When the read began, on this daemon's clock; a lease that it confirms is dated from
        /// then.
        started_at: TimeMs,
        /// The result of the read.
        result: TableResult,
    },
    /// A commit has ended.
    CommitDone {
        /// The attempt id of the entry.
        attempt: AttemptId,
        /// The result of the commit.
        result: CommitResult,
    },
    /// A peer sent a heartbeat.
    Heartbeat {
        /// The request to which the reply belongs.
        request: RequestId,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// A peer replied to a heartbeat.
    HeartbeatReply(HeartbeatReply),
    /// A peer requested the log entries after `after`.
    ChangesRequested {
        /// The request to which the reply belongs.
        request: RequestId,
        /// The epoch that the peer has adopted.
        after: Epoch,
    },
    /// A peer sent the requested changes.
    Changes(ChangesBody),
    /// The platform's instance list was read.
    Instances(Arc<Vec<Instance>>),
    /// A grant exchange with an upstream has ended.
    GrantReply {
        /// The upstream.
        upstream: UpstreamName,
        /// When the grant was sent.
        sent_at: TimeMs,
        /// The expiry of the lease under which the grant was sent.
        lease_until: TimeMs,
        /// The grant.
        grant: Box<Grant>,
        /// The upstream's reply; `None` after a failure or time-out.
        reply: Option<GrantReply>,
    },
    /// A revocation exchange with an upstream has ended.
    RevokeReply {
        /// The upstream.
        upstream: UpstreamName,
        /// The epoch of the revocation.
        epoch: Epoch,
        /// The revoked units.
        units: Vec<UnitId>,
        /// The upstream's reply; `None` after a failure or time-out.
        reply: Option<RevokeReply>,
    },
    /// A dispatch task reports the load of its upstream.
    Load(UpstreamReport),
    /// An operator issued a command.
    Command {
        /// The request to which the reply belongs.
        request: RequestId,
        /// The command.
        command: OperatorCommand,
    },
    /// Another incarnation answered at the address of a known peer.
    PeerReplaced {
        /// The peer's address.
        address: SocketAddr,
        /// The incarnation that answers there now.
        incarnation: Incarnation,
    },
    /// The daemon was told to stop.
    Stop,
}
