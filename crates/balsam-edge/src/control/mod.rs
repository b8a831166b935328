//! The control path: follows the tables of the store, assigns keys while this daemon is the leader,
//! and publishes the routing state.

mod act;
mod evacuation;
mod events;
mod follow;
mod freshness;
mod keepers;
mod message;
mod moved;
mod path;
mod peers;
mod snapshots;
mod suspects;
mod tables;
mod task;

pub(crate) use message::{ControlInput, TableUpdate};
pub(crate) use path::ControlPath;
