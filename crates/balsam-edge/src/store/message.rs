//! Calls to the store and their results.

use balsam_decide::feed::{FeedTable, StoreTimeMs};
use balsam_types::{RoutingConfig, UpstreamName, UpstreamRow, ZoneName};
use bytes::Bytes;
use snafu::Snafu;
use std::sync::Arc;
use tokio::sync::oneshot;

/// The tables that a daemon reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreTable {
    /// The operator's configuration.
    Config,
    /// The list of upstreams.
    Upstreams,
    /// The cluster rows, which the daemons themselves write.
    Cluster,
}

impl StoreTable {
    /// Returns the text used in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Upstreams => "upstreams",
            Self::Cluster => "own",
        }
    }
}

impl From<FeedTable> for StoreTable {
    fn from(table: FeedTable) -> Self {
        match table {
            FeedTable::Config => Self::Config,
            FeedTable::Upstreams => Self::Upstreams,
        }
    }
}

/// What a row says about the evacuation of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationState {
    /// The zone is to be evacuated.
    Requested,
    /// The row was removed: the zone is in use.
    Removed,
    /// The row cannot be decoded, which changes nothing.
    Unreadable {
        /// The key of the row.
        key: Arc<str>,
        /// The cause.
        reason: String,
    },
}

/// A row as it was read, decoded as far as its table defines the format.
#[derive(Clone, Debug)]
pub enum StoreChange {
    /// A version of the configuration.
    Config(RoutingConfig),
    /// The row of the evacuation of a zone was written or removed.
    Evacuation {
        /// The zone.
        zone: ZoneName,
        /// What the row says.
        state: EvacuationState,
    },
    /// The entry of an upstream was written.
    Upstream(UpstreamRow),
    /// The entry of an upstream was removed.
    UpstreamRemoved {
        /// The version of the removal.
        version: u64,
        /// Name of the upstream.
        name: UpstreamName,
    },
    /// A cluster row was written or removed.
    Cluster {
        /// The key of the row.
        key: Arc<str>,
        /// The version of the row.
        version: u64,
        /// The value of the row, or `None` if it was removed.
        value: Option<Bytes>,
    },
    /// A row that cannot be decoded.
    Unreadable {
        /// The version of the row.
        version: u64,
        /// The key of the row.
        key: Arc<str>,
        /// The cause.
        reason: String,
    },
}

impl StoreChange {
    /// Returns about how much memory the change takes in a list of changes, in bytes.
    ///
    /// The parts of a configuration are not counted, because a table has one at most.
    pub fn memory_bytes(&self) -> usize {
        let text_bytes = match self {
            Self::Config(_) => 0,
            Self::Evacuation { zone, state } => match state {
                EvacuationState::Requested | EvacuationState::Removed => zone.as_str().len(),
                EvacuationState::Unreadable { key, reason } => {
                    zone.as_str().len() + key.len() + reason.len()
                }
            },
            Self::Upstream(UpstreamRow { entry, .. }) => {
                let names = [
                    entry.name.as_str(),
                    entry.service.as_str(),
                    entry.zone.as_str(),
                ];
                names.map(str::len).iter().sum()
            }
            Self::UpstreamRemoved { name, .. } => name.as_str().len(),
            Self::Cluster { key, value, .. } => key.len() + value.as_ref().map_or(0, Bytes::len),
            Self::Unreadable { key, reason, .. } => key.len() + reason.len(),
        };
        size_of::<Self>() + text_bytes
    }
}

/// Rows as they were at one point in time.
#[derive(Clone, Debug)]
pub struct Page {
    /// The rows.
    pub changes: Vec<StoreChange>,
    /// The newest version of the store at that time. Changes can be followed from it on.
    pub version: u64,
    /// That time, on the store's clock.
    pub store_now: StoreTimeMs,
}

/// Outcome of a write that the store has processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All rows were written. They have this version.
    Done(u64),
    /// A row does not have the expected version. Nothing was written.
    Conflict,
}

/// Reason that a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The store refused the call and did not execute it.
    #[snafu(display("the store refused the call with status {status}"))]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The store no longer has the changes after the requested version.
    #[snafu(display("the store has forgotten the history"))]
    HistoryLost,
    /// No connection could be opened. The call was not executed.
    #[snafu(display("the store cannot be reached"))]
    Unreachable,
    /// The call cannot be encoded, so that no attempt can send it.
    #[snafu(display("the call to {target} cannot be sent: {reason}"))]
    Unsendable {
        /// The target of the call.
        target: String,
        /// The cause.
        reason: String,
    },
    /// The response is longer than accepted, and so would be that to the same call.
    #[snafu(display("the store's answer to {target} has more than {max_bytes} bytes"))]
    AnswerTooLong {
        /// The target of the call.
        target: String,
        /// The accepted length in bytes.
        max_bytes: usize,
    },
    /// No response arrived. The call may have been executed, or may still be.
    #[snafu(display("the store did not answer"))]
    NoAnswer,
    /// The response cannot be decoded.
    #[snafu(display("the store's answer cannot be understood: {reason}"))]
    BadAnswer {
        /// The cause.
        reason: String,
    },
    /// The adapter's task has ended.
    #[snafu(display("the store's task has stopped"))]
    Stopped,
}

impl StoreError {
    /// Returns the text used in metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Refused { .. } => "refused",
            Self::HistoryLost => "history-lost",
            Self::Unreachable => "unreachable",
            Self::Unsendable { .. } => "unsendable",
            Self::AnswerTooLong { .. } => "answer-too-long",
            Self::NoAnswer => "no-answer",
            Self::BadAnswer { .. } => "bad-answer",
            Self::Stopped => "stopped",
        }
    }

    /// Returns whether a write that failed with this error was certainly not applied.
    pub const fn is_not_applied(&self) -> bool {
        matches!(
            self,
            Self::Refused { .. } | Self::Unreachable | Self::Unsendable { .. }
        )
    }
}

/// A call to the store.
#[derive(Debug)]
pub enum StoreRequest {
    /// Reads a whole table.
    Read {
        /// The table.
        table: StoreTable,
        /// Receives the rows.
        reply: oneshot::Sender<Result<Page, StoreError>>,
    },
    /// Reads one cluster row.
    ReadRow {
        /// The key of the row.
        key: Arc<str>,
        /// Receives the row.
        reply: oneshot::Sender<Result<Page, StoreError>>,
    },
    /// Waits for changes of a table.
    Follow {
        /// The table.
        table: StoreTable,
        /// Version after which changes are requested.
        after: u64,
        /// How long to wait for the first change, in milliseconds.
        wait_ms: u64,
        /// Receives the changes.
        reply: oneshot::Sender<Result<Page, StoreError>>,
    },
    /// Writes some cluster rows atomically.
    Write {
        /// Versions that rows must have for the write to be applied. Version 0 stands for a row
        /// that does not exist.
        expected: Vec<(Arc<str>, u64)>,
        /// The rows to write, as keys and values.
        rows: Vec<(Arc<str>, Bytes)>,
        /// Keys of the rows to remove.
        removed: Vec<Arc<str>>,
        /// Receives the outcome.
        reply: oneshot::Sender<Result<WriteOutcome, StoreError>>,
    },
}

impl StoreRequest {
    /// Returns the text used in metrics.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Read { .. } => "read",
            Self::ReadRow { .. } => "read-row",
            Self::Follow { .. } => "follow",
            Self::Write { .. } => "write",
        }
    }
}
