//! Load balancing with concurrency limits: chooses an upstream for each request, or queues or
//! refuses it.
//!
//! See [the platform page](../../../../docs/platform.md#sending), also for [what upstreams announce
//! about themselves](../../../../docs/platform.md#announcements-of-upstreams).

mod ask;
mod endpoint;
mod machine;
mod message;
mod notices;
mod patience;
mod permits;
mod pick;
mod queue;
mod route_latency;
mod turns;

pub use ask::EndReport;
pub use machine::Pool;
pub use message::{
    ClusterState, PoolInput, PoolOutput, PoolSettings, Refusal, Request, RequestId, UpstreamNotice,
    Verdict,
};
pub use permits::Permit;
