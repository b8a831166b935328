//! The platform's store as the daemon uses it: messages to the adapter, and the daemon's own rows.

mod client;
mod message;
mod rows;

pub(crate) use client::StoreClient;
pub use message::{Page, StoreChange, StoreError, StoreRequest, StoreTable, WriteOutcome};
pub use rows::{ClusterRowKey, RangesRow, RangesRowError, RowError, decode_row, encode_row};
