//! The task that owns the pool's decisions and the idle connections to upstreams.

mod idle;
mod lease;
mod message;
mod task;

pub(crate) use lease::Lease;
pub(crate) use message::{LeaseError, LeaseRequest, PoolClient, PoolMessage};
pub(crate) use task::PoolTask;
