//! Load balancing with concurrency limits: chooses an upstream for each request, or queues or
//! refuses it.
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
