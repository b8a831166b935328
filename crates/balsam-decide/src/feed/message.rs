//! The tables that daemons follow, and the state of them that the leader reports.

use super::StoreTimeMs;
use balsam_types::TimeMs;
use serde::{Deserialize, Serialize};

/// How long the store may hold a long-poll call of the leader open while nothing changes, in
/// milliseconds.
///
/// Each response proves that the leader knows the newest version, even if nothing has changed.
pub const FEED_LEADER_LONG_POLL_MS: u64 = 500;

/// The age up to which the leader's knowledge of the tables counts as fresh, in milliseconds: the
/// time of a long poll, and the time that a slow store takes to respond.
const FRESH_MAX_AGE_MS: u64 = FEED_LEADER_LONG_POLL_MS + 400;

/// A table of the store that every daemon needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FeedTable {
    /// The operator's configuration.
    Config,
    /// The list of upstreams.
    Upstreams,
}

impl FeedTable {
    /// All tables.
    pub const ALL: [Self; 2] = [Self::Config, Self::Upstreams];
}

/// Where a daemon gets the changes of a table from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FeedSource {
    /// The daemon follows the store itself.
    Store,
    /// The daemon waits for the leader to relay them.
    Leader,
}

/// How far a daemon has followed one table, as versions of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableState {
    /// The version of the last known change.
    pub changed: u64,
    /// The version up to which all changes are known.
    pub seen: u64,
}

/// The state of the followed tables, which the leader reports in its heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedState {
    /// The configuration.
    pub config: TableState,
    /// The upstreams.
    pub upstreams: TableState,
    /// The time since the store's last response for the table whose last response is the oldest, in
    /// milliseconds.
    pub age_ms: u64,
}

impl FeedState {
    /// Returns whether the store has responded to the leader so recently that the leader knows the
    /// newest versions.
    pub const fn is_fresh(&self) -> bool {
        self.age_ms <= FRESH_MAX_AGE_MS
    }

    /// Returns the state of one table.
    pub const fn of(&self, table: FeedTable) -> TableState {
        match table {
            FeedTable::Config => self.config,
            FeedTable::Upstreams => self.upstreams,
        }
    }
}

/// How far a daemon has followed one table, and until when the store held nothing newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableReading {
    /// The known versions.
    pub state: TableState,
    /// The time of the store's clock at which the store stood at these versions.
    pub read_at: StoreTimeMs,
}

/// What a daemon has read of the followed tables.
///
/// It does not matter who sends it, nor how long that takes: the times of the store show its order
/// and its age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedReading {
    /// The configuration.
    pub config: TableReading,
    /// The upstreams.
    pub upstreams: TableReading,
}

impl FeedReading {
    /// Returns the reading of one table.
    pub const fn of(&self, table: FeedTable) -> TableReading {
        match table {
            FeedTable::Config => self.config,
            FeedTable::Upstreams => self.upstreams,
        }
    }
}

/// A response of the store to a call for a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreResponse {
    /// When the call was sent.
    pub asked_at: TimeMs,
    /// The time of the store's clock in the response.
    pub store_now: StoreTimeMs,
    /// The newest version of the store.
    pub version: u64,
    /// Whether the response contains rows of the table.
    pub has_changes: bool,
}
