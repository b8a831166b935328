//! The task that selects upstreams for requests and owns the idle connections to them.

mod idle;
mod lease;
mod message;
mod task;
mod withdrawals;

pub(crate) use lease::Lease;
pub(crate) use message::{LeaseError, LeaseRequest, PoolClient, PoolMessage};
pub(crate) use task::PoolTask;
