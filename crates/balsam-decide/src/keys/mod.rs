//! Assignment of key ranges to upstreams, decided by one leader among the daemons.
//!
//! The leader divides the keys of a service into ranges and gives each range one owner. It lets the
//! owner serve the keys by a *grant*: a lease with a fencing token, which the leader renews. The
//! duration of the lease is called *hold*. Before a range moves, its former owner must have
//! *released* it or its grants must have expired.
//!
//! See [the platform page](../../../../docs/platform.md#ownership-of-keys) for why no two upstreams
//! hold a key at once.

mod assigner;
mod delta;
mod era;
mod evidence;
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
pub use evidence::{FreedBy, FreedRange};
pub use load::KeySamples;
pub use message::{
    AssignerInput, AssignerOutput, Commit, CommitResult, DaemonIdentity, LoadReport, Order,
    OrderId, OrderKind, OrderResult, RowVersion, StoredLead, StoredRanges,
};
pub use plan::{Candidate, MoveScope, plan};
pub use response_times::ResponseTimes;
pub use timing::GrantTiming;
