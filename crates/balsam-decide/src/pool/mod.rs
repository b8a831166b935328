//! Which upstream gets a request, how many it gets at once, and which requests wait or are refused.
//!
//! See [the platform page](../../../../docs/platform.md#sending).

mod endpoint;
mod machine;
mod message;
mod pick;
mod queue;

pub use machine::Pool;
pub use message::{
    ClusterState, PoolInput, PoolOutput, PoolSettings, Refusal, Request, RequestId, Verdict,
};
