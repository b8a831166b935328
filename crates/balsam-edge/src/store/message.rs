//! Calls to the store and their ends.

use balsam_decide::feed::FeedTable;
use balsam_types::{RoutingConfig, UpstreamName, UpstreamRow};
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
    /// The daemons' own rows.
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

/// A row as it was read, decoded as far as its table tells.
#[derive(Clone, Debug)]
pub enum StoreChange {
    /// A version of the configuration.
    Config(RoutingConfig),
    /// An upstream's entry.
    Upstream(UpstreamRow),
    /// An upstream's entry was removed.
    UpstreamRemoved {
        /// The version of the removal.
        version: u64,
        /// The upstream.
        name: UpstreamName,
    },
    /// One of the daemons' own rows.
    Cluster {
        /// The row's key.
        key: Arc<str>,
        /// The row's version.
        version: u64,
        /// The row's value, or `None` if it was removed.
        value: Option<Bytes>,
    },
    /// A row that cannot be understood; it changes nothing.
    Unreadable {
        /// The row's version.
        version: u64,
        /// The row's key.
        key: Arc<str>,
        /// What is wrong.
        reason: String,
    },
}

/// Rows of one moment.
#[derive(Clone, Debug)]
pub struct Page {
    /// The rows.
    pub changes: Vec<StoreChange>,
    /// The newest version of the store at that moment, from which changes can be followed.
    pub version: u64,
}

/// The end of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All rows were written and have this version.
    Done(u64),
    /// A row has not the expected version; nothing was written.
    Conflict,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The store refused the call; nothing was done.
    #[snafu(display("the store refused the call with status {status}"))]
    Refused {
        /// The status.
        status: u16,
    },
    /// The store has forgotten the changes after the version.
    #[snafu(display("the store has forgotten the history"))]
    HistoryLost,
    /// No connection could be opened; nothing was done.
    #[snafu(display("the store cannot be reached"))]
    Unreachable,
    /// There was no answer; the call may have been carried out, or may still be.
    #[snafu(display("the store did not answer"))]
    NoAnswer,
    /// The answer cannot be understood.
    #[snafu(display("the store's answer cannot be understood: {reason}"))]
    BadAnswer {
        /// What is wrong.
        reason: String,
    },
    /// The adapter has stopped.
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
            Self::NoAnswer => "no-answer",
            Self::BadAnswer { .. } => "bad-answer",
            Self::Stopped => "stopped",
        }
    }

    /// Returns whether a write that ended so was certainly not made.
    pub const fn is_not_applied(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::Unreachable)
    }
}

/// A call to the store.
#[derive(Debug)]
pub enum StoreRequest {
    /// Reads a whole table.
    Read {
        /// The table.
        table: StoreTable,
        /// Where the rows go.
        reply: oneshot::Sender<Result<Page, StoreError>>,
    },
    /// Reads one of the daemons' own rows.
    ReadRow {
        /// The row's key.
        key: Arc<str>,
        /// Where the row goes.
        reply: oneshot::Sender<Result<Page, StoreError>>,
    },
    /// Waits for changes of a table.
    Follow {
        /// The table.
        table: StoreTable,
        /// Changes after this version are wanted.
        after: u64,
        /// How long to wait for the first one, in milliseconds.
        wait_ms: u64,
        /// Where the changes go.
        reply: oneshot::Sender<Result<Page, StoreError>>,
    },
    /// Writes some of the daemons' own rows, all or none.
    Write {
        /// Versions that rows must have; 0 stands for a row that does not exist.
        expected: Vec<(Arc<str>, u64)>,
        /// The rows.
        rows: Vec<(Arc<str>, Bytes)>,
        /// Rows to remove.
        removed: Vec<Arc<str>>,
        /// Where the result goes.
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
