//! What daemons say of the tables that they follow.

use serde::{Deserialize, Serialize};

/// How long the leader lets the store wait for a change, in milliseconds.
///
/// Each answer proves that the leader knows the newest version, also if nothing has changed.
pub const FEED_LEADER_LONG_POLL_MS: u64 = 500;

/// How long the leader's knowledge counts as new after the store's last answer, in milliseconds:
/// the wait of its calls and the time for an answer of a slow store.
const FRESH_MS: u64 = FEED_LEADER_LONG_POLL_MS + 400;

/// A table of the store that every daemon must know.
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

/// Where a daemon learns of the changes of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FeedSource {
    /// It follows the store.
    Store,
    /// It waits for the leader's messages.
    Leader,
}

/// How far the leader knows one table; both are versions of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableState {
    /// The version that brought the last change.
    pub changed: u64,
    /// The version up to which all changes are known.
    pub seen: u64,
}

/// What the leader's heartbeats say of the tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedState {
    /// The configuration.
    pub config: TableState,
    /// The upstreams.
    pub upstreams: TableState,
    /// How long ago the store last answered for the table for which it has been silent longest, in
    /// milliseconds.
    pub age_ms: u64,
}

impl FeedState {
    /// Returns whether the leader knows the newest versions, also if nothing has changed.
    pub const fn is_fresh(&self) -> bool {
        self.age_ms <= FRESH_MS
    }

    /// Returns how far one table is known.
    pub const fn of(&self, table: FeedTable) -> TableState {
        match table {
            FeedTable::Config => self.config,
            FeedTable::Upstreams => self.upstreams,
        }
    }
}
