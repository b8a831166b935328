//! What a node reacts to.

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
    /// The sender's control epoch.
    pub epoch: Epoch,
    /// The sender's round; round 0 only announces the epoch and gathers no statements.
    pub round: Round,
    /// Whether the sender's last table read succeeded.
    pub table_ok: bool,
    /// Whether the sender is stopping and hands over its upstreams.
    pub leaving: bool,
    /// What the sender knows of its upstreams; filled only towards the placer.
    pub reports: Vec<UpstreamReport>,
}

/// The answer to a [`Heartbeat`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatReply {
    /// The incarnation of the daemon that answers.
    pub incarnation: Incarnation,
    /// Its control epoch; equal to the pulse's epoch, it makes the answer a statement.
    pub epoch: Epoch,
    /// The round of the pulse.
    pub round: Round,
}

/// What a dispatcher tells the placer of one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamReport {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Whether it is silent by [`crate::grants::GrantHealth`].
    pub silent: bool,
    /// Whether its last two grant exchanges succeeded.
    pub answering: bool,
    /// Whether it says that it is draining.
    pub draining: bool,
    /// Slot time used in the last reporting period, in milliseconds for each second.
    pub load: f64,
    /// The heaviest units with their part of `load`, in its unit; at most 64.
    pub heavy_units: Vec<(UnitId, f64)>,
    /// The heaviest keys with their part of `load`, in its unit; at most 16.
    pub heavy_keys: Vec<(KeyHash, f64)>,
}

/// What a table read found.
#[derive(Clone, Debug, PartialEq)]
pub enum TableResult {
    /// The table holds this epoch and these entries after the epoch that was asked for.
    Read {
        /// The epoch of row `control`.
        epoch: Epoch,
        /// The log entries after the epoch that was asked for, in order and without gaps.
        entries: Vec<LogEntry>,
    },
    /// The log no longer reaches back that far; this snapshot does.
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

/// How a commit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitResult {
    /// The change is committed as the next epoch.
    Committed,
    /// Another change took the epoch.
    Lost,
    /// The table did not answer; the change may or may not be committed.
    Unsettled,
}

/// A command of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorCommand {
    /// Edits settings; with `wait`, answers once the edit is in force everywhere.
    Edit {
        /// The edits.
        edits: Vec<NodeEdit>,
        /// Whether to wait for every roster daemon.
        wait: bool,
    },
    /// Drains an upstream, or takes the drain back.
    Drain {
        /// The upstream.
        upstream: UpstreamName,
        /// Whether to drain it.
        drain: bool,
    },
    /// Removes a daemon that is known to be dead from the roster.
    Forget {
        /// The daemon.
        incarnation: Incarnation,
    },
    /// Accepts a quarantined request again.
    ClearQuarantine {
        /// The entry.
        fingerprint: Fingerprint,
    },
    /// Quarantines a request; sent by the daemon itself.
    Quarantine {
        /// The entry.
        entry: balsam_types::control::QuarantineEntry,
    },
}

/// An input of the node.
#[derive(Clone, Debug)]
pub enum NodeInput {
    /// Time has passed; sent at least every [`balsam_types::timing::HEARTBEAT_INTERVAL_MS`] / 5.
    Tick,
    /// A table read that began at `started_at` ended.
    TableRead {
        /// When the read began, on this daemon's clock.
        started_at: TimeMs,
        /// What it found.
        result: TableResult,
    },
    /// A commit ended.
    CommitDone {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        result: CommitResult,
    },
    /// A peer sent a pulse.
    Heartbeat {
        /// Answers go to this request.
        request: RequestId,
        /// The pulse.
        heartbeat: Heartbeat,
    },
    /// A peer answered a pulse.
    HeartbeatReply(HeartbeatReply),
    /// A peer asks for the entries after `after`.
    ChangesRequested {
        /// Answers go to this request.
        request: RequestId,
        /// The peer's epoch.
        after: Epoch,
    },
    /// A peer sent changes.
    Changes(ChangesBody),
    /// The platform's list of instances was read.
    Instances(Arc<Vec<Instance>>),
    /// An upstream answered a grant.
    GrantReply {
        /// The upstream.
        upstream: UpstreamName,
        /// When the grant was sent.
        sent_at: TimeMs,
        /// The end of the right that the grant was sent under.
        lease_until: TimeMs,
        /// The grant.
        grant: Box<Grant>,
        /// The answer; `None` if there was none in time.
        reply: Option<GrantReply>,
    },
    /// An upstream answered a revocation.
    RevokeReply {
        /// The upstream.
        upstream: UpstreamName,
        /// The epoch of the revocation.
        epoch: Epoch,
        /// The units of the revocation.
        units: Vec<UnitId>,
        /// The answer; `None` if there was none in time.
        reply: Option<RevokeReply>,
    },
    /// A dispatch task reports its upstream's load.
    Load(UpstreamReport),
    /// An operator gave a command.
    Command {
        /// Answers go to this request.
        request: RequestId,
        /// The command.
        command: OperatorCommand,
    },
    /// Another incarnation answered at this peer address.
    PeerReplaced {
        /// The peer's address.
        address: SocketAddr,
        /// The incarnation that answers there now.
        incarnation: Incarnation,
    },
    /// The daemon was told to stop.
    Stop,
}
