//! Who owns which keys: one daemon, the giver, assigns ranges of keys and orders upstreams.
//!
//! See [the platform page](../../../../docs/platform.md#ownership-of-keys) for why no two upstreams
//! hold a key at once.

mod delta;
mod giver;
mod holds;
mod load;
mod message;

mod orders;
mod plan;
mod reach;
mod service;
mod succession;
mod timing;

pub use delta::{apply_delta, delta};
pub use giver::Giver;
pub use load::KeyLoad;
pub use message::{
    Commit, CommitResult, GiverInput, GiverOutput, Leader, Order, OrderId, OrderKind, OrderResult,
    RowVersion, StoredLead, StoredRanges,
};
pub use plan::{Candidate, Moves, plan};
pub use timing::KeyTiming;
