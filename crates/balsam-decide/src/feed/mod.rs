//! Where a daemon gets the changes of the store's tables from: the store itself, or the leader,
//! which follows the store for all daemons.
//!
//! See [the platform page](../../../../docs/platform.md#calls-to-the-store).

mod known;
mod machine;
mod message;
mod missing;
mod snapshot_budget;
mod snapshot_parts;
mod store_clock;
mod timing;

pub use machine::Feed;
pub use message::{
    FEED_LEADER_LONG_POLL_MS, FeedReading, FeedSource, FeedState, FeedTable, StoreResponse,
    TableReading, TableState,
};
pub use missing::MissingVersions;
pub use snapshot_budget::SnapshotBudget;
pub use snapshot_parts::{SNAPSHOT_PARTS_MAX, SnapshotPart, SnapshotParts};
pub use store_clock::{StoreClock, StoreTimeMs};
pub use timing::FeedTiming;
