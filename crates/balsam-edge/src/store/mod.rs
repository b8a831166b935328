//! The platform's store: messages to the adapter, and the cluster rows, in which the daemons keep
//! their shared state.

mod client;
mod message;
mod rows;

pub(crate) use client::StoreClient;
pub use message::{
    EvacuationState, Page, StoreChange, StoreError, StoreRequest, StoreTable, WriteOutcome,
};
pub use rows::{ClusterRowKey, RangesRow, RangesRowError, RowError, decode_row, encode_row};
