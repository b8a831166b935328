//! The control path: follow the store, decide, act, publish.

mod act;
mod follow;
mod lines;
mod message;
mod moved;
mod path;
mod peers;
mod snapshots;
mod suspects;
mod tables;
mod task;

pub(crate) use message::{ControlInput, Followed};
pub(crate) use path::ControlPath;
