//! Who owns which keys: one daemon, the leader, assigns ranges of keys and orders upstreams.
//!
//! See [the platform page](../../../../docs/platform.md#ownership-of-keys) for why no two upstreams
//! hold a key at once.

mod answers;
mod assigner;
mod delta;
mod holds;
mod load;
mod message;
mod orders;
mod plan;
mod reach;
mod service;
mod succession;
mod timing;

pub use answers::AnswerTimes;
pub use assigner::Assigner;
pub use delta::{apply_delta, delta};
pub use load::KeyLoad;
pub use message::{
    AssignerInput, AssignerOutput, Commit, CommitResult, Leader, LoadReport, Order, OrderId,
    OrderKind, OrderResult, RowVersion, StoredLead, StoredRanges,
};
pub use plan::{Candidate, Moves, plan};
pub use timing::KeyTiming;
