//! From where a daemon learns of changes in the store's tables: from the store itself, or from the
//! leader, which follows the store for all.
//!
//! See [the platform page](../../../../docs/platform.md#calls-to-the-store).

mod machine;
mod message;

pub use machine::{FOLLOW_ASIDE_MS, Feed};
pub use message::{FOLLOW_AS_LEADER_MS, FeedSource, FeedState, FeedTable, TableState};
