//! The platform's store as the daemon uses it: messages to the adapter, and the daemon's own rows.

mod link;
mod message;
mod rows;

pub(crate) use link::StoreLink;
pub use message::{Page, StoreChange, StoreError, StoreRequest, StoreTable, Written};
pub use rows::{OwnKey, RangesRow, RangesRowError, RowError, decode_row, encode_row};
