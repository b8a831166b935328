//! Who owns which keys: one daemon, the leader, assigns ranges of keys and orders upstreams.
//!
//! See [the platform page](../../../../docs/platform.md#ownership-of-keys) for why no two upstreams
//! hold a key at once.

mod assigner;
mod delta;
mod leadership;
mod load;
mod message;
mod orders;
mod outstanding;
mod plan;
mod reachability;
mod response_times;
mod service;
mod timing;

pub use assigner::Assigner;
pub use delta::{apply_delta, delta};
pub use load::KeySamples;
pub use message::{
    AssignerInput, AssignerOutput, Commit, CommitResult, DaemonIdentity, LoadReport, Order,
    OrderId, OrderKind, OrderResult, RowVersion, StoredLead, StoredRanges,
};
pub use plan::{Candidate, MoveScope, plan};
pub use response_times::ResponseTimes;
pub use timing::GrantTiming;
