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

pub use answers::ResponseTimes;
pub use assigner::Assigner;
pub use delta::{apply_delta, delta};
pub use load::KeySamples;
pub use message::{
    AssignerInput, AssignerOutput, Commit, CommitResult, DaemonIdentity, LoadReport, Order,
    OrderId, OrderKind, OrderResult, RowVersion, StoredLead, StoredRanges,
};
pub use plan::{Candidate, MoveScope, plan};
pub use timing::GrantTiming;
